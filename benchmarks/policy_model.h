#pragma once

#include "chestnutstand/node/dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace chestnutstand::benchmark {

/// Deterministic event loop with simulated time.
class event_loop {
public:
    time_point now() const { return now_; }
    void after(milliseconds delay, std::function<void()> work);
    void run_until(time_point end);

private:
    struct event {
        time_point due;
        std::uint64_t sequence;
        std::function<void()> work;
        bool operator>(const event& other) const
        {
            return due != other.due ? due > other.due : sequence > other.sequence;
        }
    };

    time_point now_{milliseconds{1'000'000}};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

/// Fake of an upstream with the node beside it: slots, one queue and faults.
class fake_upstream {
public:
    fake_upstream(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                  std::uint64_t seed);

    void execute(const call& what, call_done done);
    load_report report() const;

    std::uint64_t instance() const { return instance_; }
    std::size_t data_centre() const { return data_centre_; }

    static constexpr std::uint32_t slots = 10;
    static constexpr std::size_t queue_limit = 200;
    static constexpr milliseconds mean_service{20};

    /// Factor of the service time.
    double slowdown = 1.0;
    /// Calls until the upstream is warm; the first ones take five times as long.
    double cold_calls = 0.0;
    bool fails_fast = false;
    /// Reports claim that there is no load.
    bool misleads = false;

private:
    struct job {
        call_done done;
        std::shared_ptr<cancellation> cancel;
    };

    void start(job next);
    void finish(const job& ended, milliseconds elapsed);
    milliseconds service_time();

    event_loop& loop_;
    const std::uint64_t instance_;
    const std::size_t data_centre_;
    random_generator random_;
    std::uint32_t busy_ = 0;
    double served_ = 0.0;
    milliseconds latency_{0};
    std::deque<job> queue_;
};

/// Delivers calls between one dispatcher and the fake upstreams with network latency.
class fake_network final : public peer_client {
public:
    fake_network(event_loop& loop, std::vector<std::unique_ptr<fake_upstream>>& upstreams,
                 std::size_t data_centre, milliseconds between_data_centres)
        : loop_{loop}, upstreams_{upstreams}, data_centre_{data_centre}, between_data_centres_{
                                                                             between_data_centres}
    {
    }

    void execute(const node_reference& target, const call& what, call_done done) override;
    void probe(const node_reference& target, milliseconds timeout, probe_done done) override;

    void forward(const node_reference& /*owner*/, const call& /*what*/, bool /*query_only*/,
                 call_done /*done*/) override
    {
    }
    void settle(const node_reference& /*executor*/, const std::string& /*key*/,
                milliseconds /*timeout*/, settle_done /*done*/) override
    {
    }
    void fetch_changes(const node_reference& /*target*/, std::uint64_t /*from_offset*/,
                       milliseconds /*timeout*/, changes_done /*done*/) override
    {
    }
    void sync_members(const node_reference& /*target*/, std::vector<std::string> /*members*/,
                      milliseconds /*timeout*/, members_done /*done*/) override
    {
    }

private:
    fake_upstream& find(const node_reference& target);
    milliseconds one_way(const fake_upstream& target) const;

    event_loop& loop_;
    std::vector<std::unique_ptr<fake_upstream>>& upstreams_;
    const std::size_t data_centre_;
    const milliseconds between_data_centres_;
};

} // namespace chestnutstand::benchmark
