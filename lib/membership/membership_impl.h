#pragma once

#include "chestnutstand/membership/membership.h"
#include "chestnutstand/membership/swim.h"

#include <atomic>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace chestnutstand {

/// Initial interval between join attempts.
inline constexpr milliseconds initial_join_interval{250};

/// Implementation of membership. Runs on the control thread; its callbacks hold weak references.
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
    std::size_t recorded_addresses() const;
    void handle_sync(const std::vector<std::string>& request,
                     const peer_client::members_done& reply);
    gossip_traffic traffic() const;
    void set_evacuated(std::set<std::string> data_centres);
    void restore_record();

    /// Empty until the start has run on the control thread.
    std::optional<swim> protocol_;
    std::unique_ptr<gossip_transport> transport_;
    snapshot<routing_table> table_;
    std::function<void(node_reference, std::uint64_t)> config_hint_callback_;
    std::function<void(node_reference, std::uint64_t)> evacuation_hint_callback_;
    std::function<void()> resume_callback_;

private:
    /// Wraps a task so that it does nothing after the membership object has been destroyed.
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
    void log_routing_changes(const routing_table& before, const routing_table& after) const;
    void start_sync(const node_reference& peer);
    void finish_sync(const node_reference& peer,
                     const absl::StatusOr<std::vector<std::string>>& reply);

    // Joining. In each round the node contacts seeds or starts a push-pull exchange, ensures that
    // the member directory has enough records, and reads the directory.
    void join_round();
    void on_appended(const absl::Status& status);
    void append_again();
    void read_directory();
    bool is_join_complete() const { return synced_ && append_complete_ && read_after_append_; }
    void schedule_join_round();
    void on_join_timer(bool was_join_complete);
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
    /// Data centres whose members are not routed to.
    std::set<std::string> evacuated_;
    /// When this node's record was last written to the member directory.
    std::optional<time_point> appended_at_;
    /// Whether a push-pull exchange has succeeded.
    bool synced_ = false;
    bool sync_running_ = false;
    bool directory_reachable_ = true;
    milliseconds join_interval_ = initial_join_interval;
    /// Random time after the start, which spreads the appends of nodes that start together.
    time_point earliest_append_;
    /// Whether this node is renewing its record on behalf of its data centre.
    bool refreshing_ = false;
    /// Whether this node's record has been appended or is not needed.
    bool append_complete_ = false;
    /// Whether the directory was read after that. Only then are the records of nodes that started
    /// at the same time certain to be found.
    bool read_after_append_ = false;
    std::atomic<std::uint64_t> sync_bytes_sent_{0};
    std::atomic<std::uint64_t> sync_bytes_received_{0};
};

} // namespace chestnutstand
