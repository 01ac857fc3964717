#include "subcommand.h"

#include "chestnutstand/config/settings_file.h"
#include "chestnutstand/config/settings_watch.h"
#include "chestnutstand/node/kernel.h"
#include "chestnutstand/support/log.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iterator>
#include <malloc.h>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

/// Interval of checks for a change of the settings file that no signal announced.
constexpr timespec settings_check_interval{2, 0};
constexpr int returned_block_bytes = 131'072;
/// Each arena keeps what its threads have freed.
constexpr int max_arenas = 2;

/// Changed keys that take effect only after a restart.
std::vector<std::string> restart_only_keys(const settings_watch::change& change)
{
    const auto& reloadable = reloadable_settings;
    std::vector<std::string> restart_only;
    std::copy_if(change.keys.begin(), change.keys.end(), std::back_inserter(restart_only),
                 [&](const std::string& key) {
                     return std::find(reloadable.begin(), reloadable.end(), key) ==
                            reloadable.end();
                 });
    return restart_only;
}

/// Blocks the stop signals in this thread and all threads that it starts later, so that only
/// wait_for_stop receives them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a connection that the client has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Reloads the settings file when it changes, until a stop signal arrives.
void wait_for_stop(const sigset_t& signals, settings_watch& file, kernel& node)
{
    int received = 0;
    do {
        received = sigtimedwait(&signals, nullptr, &settings_check_interval);
        const bool is_sighup = received == SIGHUP;
        if (received != -1 && !is_sighup) {
            return;
        }
        const auto change = file.poll();
        if (change) {
            node.reload(change->new_settings);
        }
        if (change) {
            log_event(log_level::info, "settings reloaded",
                      {{"signal", is_sighup},
                       {"changed", absl::StrJoin(change->keys, " ")},
                       {"after_restart", absl::StrJoin(restart_only_keys(*change), " ")}});
        }
        else if (is_sighup) {
            log_event(log_level::info, "settings not changed");
        }
    } while (true);
}

/// Makes the allocator return the memory of a large body at once. By default it raises the size
/// from which it does so with each large block, and keeps smaller blocks for each of its arenas.
void bound_allocator(const settings& node_settings)
{
    if (node_settings.memory_limit_mb > 0.0) {
        mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
        mallopt(M_ARENA_MAX, max_arenas);
    }
}

int run_node(settings node_settings, settings_watch file)
{
    const sigset_t signals = block_stop_signals();
    init_logging(node_settings.lowest_log_level);
    bound_allocator(node_settings);
    // Never destroyed: the process ends right after the stop, and callers whose connections the
    // kernel has not closed yet would wait for the end of its threads.
    auto& node = *new kernel{std::move(node_settings)};
    const absl::Status started = node.start();
    if (!started.ok()) {
        log_event(log_level::error, "node could not start",
                  {{"error", std::string{started.message()}}});
        return exit_failed;
    }
    const auto& ports = node.ports();
    log_event(log_level::info, "node started",
              {{"instance", absl::StrCat(absl::Hex(node.instance()))},
               {"data_centre", node.config().data_centre},
               {"caller_port", std::uint64_t{ports.caller}},
               {"admin_port", std::uint64_t{ports.admin}},
               {"node_port", std::uint64_t{ports.node}},
               {"gossip_port", std::uint64_t{ports.gossip}}});
    wait_for_stop(signals, file, node);
    const bool idle = node.drain_and_stop();
    log_event(idle ? log_level::info : log_level::warning, "node stopped", {{"idle", idle}});
    return idle ? exit_success : exit_failed;
}

class node_command : public subcommand {
public:
    std::string_view summary() const override { return "run a node until SIGTERM or SIGINT"; }
    std::string_view arguments() const override { return ""; }
    std::vector<command_option> options() override
    {
        return {{"settings", "FILE", "settings of this process", &settings_file_, true}};
    }

    int run(const std::vector<std::string>& arguments) override
    {
        if (!arguments.empty()) {
            return fail(exit_usage, "expected no arguments besides options");
        }
        const auto text = read_file(settings_file_);
        if (!text.ok()) {
            return fail(exit_failed, std::string{text.status().message()});
        }
        auto loaded = parse_settings(*text, settings_file_);
        if (!loaded.ok()) {
            return fail(exit_invalid_input, std::string{loaded.status().message()});
        }
        // Skips the destructors of static objects: those of the libraries wait for their threads,
        // which can take longer than the time allowed for a stop.
        std::quick_exit(run_node(*std::move(loaded), {settings_file_, *text}));
    }

private:
    std::string settings_file_;
};

const registration<node_command, subcommand> registered{"node"};

} // namespace
} // namespace chestnutstand
