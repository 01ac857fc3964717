// Prints the results of the requests by load pattern and kind of request, for the policies of the
// product and for variants that each replace one of them by its simpler predecessor. Has no pass
// criterion.

#include "../unittests/replay/replay_model.h"

#include "chestnutstand/support/log.h"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

using namespace chestnutstand;
using namespace chestnutstand::replay;

namespace {

struct variant {
    std::string name;
    policy_options options;
};

std::vector<variant> variants()
{
    std::vector<variant> result{{"product", {}}};
    const auto add = [&](std::string name, auto change) {
        result.push_back({std::move(name), {}});
        change(result.back().options);
    };
    add("order of arrival", [](policy_options& options) { options.by_urgency = false; });
    add("pace ignored", [](policy_options& options) { options.follow_slowdown = false; });
    add("fixed limit", [](policy_options& options) { options.adaptive_limit = false; });
    add("all rejections lower the limit",
        [](policy_options& options) { options.ignore_rejections_with_free_slots = false; });
    add("return after 1 s", [](policy_options& options) { options.retry_within_target = false; });
    add("abandoned requests run",
        [](policy_options& options) { options.cancel_abandoned = false; });
    add("random placement", [](policy_options& options) { options.balancing = "random"; });
    return result;
}

void print_row(const pattern& load, const variant& tested, std::uint64_t seeds)
{
    const replay_settings settings = refund_desk();
    std::vector<kind_result> sums(settings.kinds.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto results = model{settings, tested.options, seed}.play(load);
        for (std::size_t i = 0; i < sums.size(); ++i) {
            sums[i].offered += results[i].offered;
            sums[i].in_target += results[i].in_target;
            sums[i].late += results[i].late;
            sums[i].refused_at_once += results[i].refused_at_once;
            sums[i].refused_after_waiting += results[i].refused_after_waiting;
            sums[i].failed += results[i].failed;
            sums[i].wasted_wait_ms += results[i].wasted_wait_ms;
        }
    }
    for (std::size_t i = 0; i < sums.size(); ++i) {
        const auto percent = [&](std::uint64_t part) {
            return 100.0 * static_cast<double>(part) / static_cast<double>(sums[i].offered);
        };
        std::printf("| %s | %s | %s | %llu | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
                    load.name.c_str(), tested.name.c_str(), settings.kinds[i].name.c_str(),
                    static_cast<unsigned long long>(sums[i].offered), percent(sums[i].in_target),
                    percent(sums[i].late), percent(sums[i].refused_at_once),
                    percent(sums[i].refused_after_waiting), percent(sums[i].failed),
                    sums[i].wasted_wait_ms / 1'000.0);
    }
    std::fflush(stdout);
}

} // namespace

/// Arguments: number of seeds (default 5), part of the names of the patterns to play, part of the
/// names of the variants.
int main(int argc, char** argv)
{
    init_logging(log_level::error);
    const auto seeds = static_cast<std::uint64_t>(argc > 1 ? std::atoi(argv[1]) : 5);
    const std::string pattern_filter = argc > 2 ? argv[2] : "";
    const std::string variant_filter = argc > 3 ? argv[3] : "";
    std::printf(
        "| pattern | decisions | kind | offered | in target %% | late %% | refused at once %% "
        "| refused after waiting %% | failed %% | held s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const pattern& load : patterns()) {
        for (const variant& tested : variants()) {
            if (load.name.find(pattern_filter) != std::string::npos &&
                tested.name.find(variant_filter) != std::string::npos) {
                print_row(load, tested, seeds);
            }
        }
    }
    return EXIT_SUCCESS;
}
