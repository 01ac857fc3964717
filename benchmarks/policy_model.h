#pragma once

#include "../unittests/replay/model_network.h"

#include "chestnutstand/node/dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

namespace chestnutstand::benchmark {

/// Fake of an upstream with the node beside it: slots, one queue and faults.
class fake_upstream final : public model_member {
public:
    fake_upstream(event_loop& loop, std::uint64_t instance, std::size_t data_centre,
                  std::uint64_t seed);

    void execute(const service_call& call, call_done done) override;
    load_report report() const override;

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
    random_generator random_;
    std::uint32_t busy_ = 0;
    double served_ = 0.0;
    milliseconds latency_{0};
    std::deque<job> queue_;
};

} // namespace chestnutstand::benchmark
