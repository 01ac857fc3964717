// Prints, for each load pattern and kind of request, what became of the requests with the decisions
// of the product and with each of them replaced by the simpler one before it. Decides nothing.

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
    policy_options chosen;
};

std::vector<variant> variants()
{
    std::vector<variant> all{{"product", {}}};
    const auto add = [&](std::string name, auto change) {
        all.push_back({std::move(name), {}});
        change(all.back().chosen);
    };
    add("order of arrival", [](policy_options& without) { without.by_urgency = false; });
    add("pace ignored", [](policy_options& without) { without.follow_pace = false; });
    add("fixed limit", [](policy_options& without) { without.adaptive_limit = false; });
    add("all rejections lower the limit",
        [](policy_options& without) { without.ignore_rejections_with_free_slots = false; });
    add("return after 1 s", [](policy_options& without) { without.retry_within_target = false; });
    add("abandoned requests run",
        [](policy_options& without) { without.cancel_abandoned = false; });
    add("random placement", [](policy_options& without) { without.balancing = "random"; });
    return all;
}

void print_row(const pattern& load, const variant& played, std::uint64_t seeds)
{
    const replay_settings described = refund_desk();
    std::vector<kind_result> sums(described.kinds.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto results = model{described, played.chosen, seed}.play(load);
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
                    load.name.c_str(), played.name.c_str(), described.kinds[i].name.c_str(),
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
    const std::string wanted = argc > 2 ? argv[2] : "";
    const std::string only = argc > 3 ? argv[3] : "";
    std::printf(
        "| pattern | decisions | kind | offered | in target %% | late %% | refused at once %% "
        "| refused after waiting %% | failed %% | held s |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const pattern& load : patterns()) {
        for (const variant& played : variants()) {
            if (load.name.find(wanted) != std::string::npos &&
                played.name.find(only) != std::string::npos) {
                print_row(load, played, seeds);
            }
        }
    }
    return EXIT_SUCCESS;
}
