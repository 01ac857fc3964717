#pragma once

#include "chestnutstand/membership/membership.h"
#include "chestnutstand/membership/swim.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <utility>

namespace chestnutstand {

/// First pause between two looks at the member directory.
inline constexpr milliseconds initial_join_interval{250};

/// State and work of one membership object, kept alive by its own callbacks. Runs on the control
/// thread.
class membership::impl : public std::enable_shared_from_this<membership::impl> {
public:
    impl(membership_options options, control_loop& loop,
         std::shared_ptr<member_directory> directory, peer_client& peers)
        : options_{std::move(options)}, loop_{loop}, peers_{peers},
          directory_{std::move(directory)}, random_{options_.random_seed}
    {
        table_.store(std::make_shared<const routing_table>());
    }

    absl::Status start();
    void flush();
    void leave();
    void handle_sync(const std::vector<std::string>& theirs,
                     const peer_client::members_done& reply);
    gossip_traffic traffic() const;

    /// Null until start has succeeded.
    std::optional<swim> protocol_;
    std::unique_ptr<gossip_transport> transport_;
    snapshot<routing_table> table_;
    std::function<void(node_reference, std::uint64_t)> config_hint_callback_;
    std::function<void()> resume_callback_;

private:
    /// Wraps a task so that it does nothing once the membership object is gone.
    template <typename Task>
    auto guarded(Task task)
    {
        return [weak = weak_from_this(), task = std::move(task)](auto&&... args) mutable {
            if (const auto self = weak.lock()) {
                task(*self, std::forward<decltype(args)>(args)...);
            }
        };
    }

    void tick();
    void publish(time_point now);
    void log_routing_changes(const routing_table& before, const routing_table& now) const;
    void start_sync(const node_reference& peer);
    void finish_sync(const node_reference& peer,
                     const absl::StatusOr<std::vector<std::string>>& reply);

    // Joining.
    void join_round();
    void read_directory();
    bool settled() const { return synced_ && append_complete_ && read_after_append_; }
    void schedule_join_round();
    void on_join_timer(bool was_settled);
    void on_join_records(const absl::Status& status);
    void contact_recorded(std::size_t limit);
    void append_when_needed(time_point now);
    std::size_t fresh_records(time_point now) const;
    bool is_refresher() const;

    membership_options options_;
    control_loop& loop_;
    peer_client& peers_;
    std::shared_ptr<member_directory> directory_;
    std::mt19937_64 random_;
    time_point last_publish_;
    bool publish_due_ = true;
    bool synced_ = false;
    bool sync_running_ = false;
    bool directory_reachable_ = true;
    milliseconds join_interval_ = initial_join_interval;
    time_point earliest_append_;
    /// Set while this node renews the records of its data centre.
    bool refreshing_ = false;
    /// Whether the own join record exists or is not needed.
    bool append_complete_ = false;
    /// Whether the stream was read after that; a node that started at the same time shows up then.
    bool read_after_append_ = false;
    std::atomic<std::uint64_t> sync_bytes_sent_{0};
    std::atomic<std::uint64_t> sync_bytes_received_{0};
};

} // namespace chestnutstand
