#include "chestnutstand/admission/admission_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

namespace chestnutstand {
namespace {

service_config random_service()
{
    service_config service;
    service.reserve = *rc::gen::inRange(1, 11) / 10.0;
    service.queue_limit_per_priority = *rc::gen::inRange<std::uint32_t>(1, 40);
    const int classes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < classes; ++i) {
        const milliseconds target{static_cast<double>(*rc::gen::inRange(1, 100) * 20)};
        const double weight = *rc::gen::inRange(1, 10);
        service.priorities.push_back({"class" + std::to_string(i), target, weight, true});
    }
    return service;
}

double share_of(const service_config& service, std::size_t priority)
{
    double sum = 0.0;
    for (const auto& priority_class : service.priorities) {
        sum += priority_class.weight;
    }
    return service.reserve * service.priorities[priority].weight / sum;
}

/// Applies random operations to a queue and tracks the state of every request.
class random_driver {
public:
    random_driver()
        : service{random_service()}, queue{service, *rc::gen::inRange<std::uint32_t>(1, 12)}
    {
    }

    void step()
    {
        now += milliseconds{*rc::gen::inRange(0, 30) * 1.0};
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            remove_any();
            break;
        case 1:
            change_classes();
            break;
        case 2:
            queue.set_slots(*rc::gen::inRange<std::uint32_t>(1, 12));
            break;
        case 3:
        case 4:
        case 5:
            finish_any();
            break;
        default:
            offer();
        }
        take_decisions();
    }

    void finish_all()
    {
        queue.drain();
        while (!queue.idle()) {
            now += milliseconds{10};
            finish_any();
            take_decisions();
        }
    }

    service_config service;
    admission_queue queue;
    time_point now{milliseconds{1000}};
    std::uint64_t offered = 0;
    std::set<std::uint64_t> waiting;
    std::set<std::uint64_t> running;
    std::set<std::uint64_t> ended;

private:
    void start(std::uint64_t id)
    {
        RC_ASSERT(running.size() < queue.limit());
        running.insert(id);
    }

    void end(std::uint64_t id) { RC_ASSERT(ended.insert(id).second); }

    void offer()
    {
        const auto id = ++offered;
        const auto priority = *rc::gen::inRange<std::size_t>(0, service.priorities.size());
        const milliseconds timeout{*rc::gen::inRange(1, 3000) * 1.0};
        const auto result = queue.offer(id, priority, now + timeout, now);
        RC_ASSERT((result.result == offer_state::refused) == (result.reason != reason_code::none));
        switch (result.result) {
        case offer_state::admitted:
            start(id);
            break;
        case offer_state::queued:
            waiting.insert(id);
            break;
        case offer_state::refused:
            end(id);
        }
    }

    void take_decisions()
    {
        while (const auto decision = queue.next(now)) {
            // Also fails for a request that was refused after its dispatch or returned twice.
            RC_ASSERT(waiting.erase(decision->id) == 1U);
            if (decision->starts()) {
                start(decision->id);
            }
            else {
                end(decision->id);
            }
        }
        RC_ASSERT(queue.in_flight() == running.size());
    }

    void finish_any()
    {
        if (running.empty()) {
            return;
        }
        auto chosen = running.begin();
        std::advance(chosen, *rc::gen::inRange<std::size_t>(0, running.size()));
        const auto kind = static_cast<sample_kind>(*rc::gen::inRange(0, 4));
        const milliseconds latency{*rc::gen::inRange(0, 800) * 1.0};
        RC_ASSERT(queue.finish(*chosen, {kind, latency}, now));
        RC_ASSERT(!queue.finish(*chosen, {kind, latency}, now));
        end(*chosen);
        running.erase(chosen);
    }

    void remove_any()
    {
        const auto id = *rc::gen::inRange<std::uint64_t>(0, offered + 1);
        const bool removed = queue.remove(id);
        RC_ASSERT(removed == waiting.contains(id));
        if (removed) {
            waiting.erase(id);
            end(id);
        }
    }

    void change_classes()
    {
        service = random_service();
        queue.set_classes(service);
    }
};

// Guards against requests that are lost, decided twice, refused after their dispatch or started
// beyond the limit, and against a drain that never completes.
TEST(admission_properties, every_request_ends_exactly_once_within_the_limit)
{
    EXPECT_TRUE(rc::check([] {
        random_driver driver;
        const int steps = *rc::gen::inRange(0, 300);
        for (int i = 0; i < steps; ++i) {
            driver.step();
        }
        driver.finish_all();
        RC_ASSERT(driver.ended.size() == driver.offered);
    }));
}

/// Keeps the given classes backlogged while requests run and end, and counts dispatches by class.
class backlog_driver {
public:
    backlog_driver(const service_config& service, std::uint32_t slots)
        : service_{service}, queue_{service, slots}
    {
    }

    /// Fills the queues of the classes, then ends the request that has run longest and starts what
    /// the queue admits.
    void run_round(const std::vector<std::size_t>& backlogged_classes, double step_ms)
    {
        for (const auto priority : backlogged_classes) {
            refill(priority);
        }
        if (!backlogged_) {
            // Guaranteed shares apply only to dispatches made while all classes are backlogged.
            backlogged_ = true;
            dispatched.clear();
            total = 0;
        }
        now_ += milliseconds{step_ms};
        if (!running_.empty()) {
            const auto [id, started] = running_.front();
            running_.erase(running_.begin());
            queue_.finish(id, {sample_kind::completed, now_ - started}, now_);
        }
        while (const auto decision = queue_.next(now_)) {
            if (decision->starts()) {
                start(decision->id);
            }
            refill(class_of_[decision->id]);
        }
    }

    std::map<std::size_t, int> dispatched;
    int total = 0;

private:
    void start(std::uint64_t id)
    {
        running_.emplace_back(id, now_);
        ++dispatched[class_of_[id]];
        ++total;
    }

    void refill(std::size_t priority)
    {
        // The deadline is too late to matter; only the order of service is tested.
        while (queue_.report(now_).queues[priority].length < 2) {
            class_of_[++last_id_] = priority;
            const auto deadline = now_ + milliseconds{1e9};
            const auto result = queue_.offer(last_id_, priority, deadline, now_).result;
            if (result == offer_state::refused) {
                return;
            }
            if (result == offer_state::admitted) {
                start(last_id_);
            }
        }
    }

    service_config service_;
    admission_queue queue_;
    time_point now_{milliseconds{1000}};
    std::uint64_t last_id_ = 0;
    bool backlogged_ = false;
    std::map<std::uint64_t, std::size_t> class_of_;
    std::vector<std::pair<std::uint64_t, time_point>> running_;
};

std::vector<std::size_t> random_classes(const service_config& service)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < service.priorities.size(); ++i) {
        if (*rc::gen::inRange(0, 4) != 0) {
            chosen.push_back(i);
        }
    }
    return chosen;
}

/// The bound H(K) + share from the documentation of admission_queue.
double share_tolerance(const service_config& service, std::size_t priority)
{
    double tolerance = share_of(service, priority);
    for (std::size_t i = 1; i <= service.priorities.size(); ++i) {
        tolerance += 1.0 / static_cast<double>(i);
    }
    return tolerance;
}

// Guards against a backlogged class that receives less than its guaranteed share, whichever other
// classes are backlogged.
TEST(admission_properties, backlogged_classes_keep_their_share)
{
    EXPECT_TRUE(rc::check([] {
        const auto service = random_service();
        const auto slots = *rc::gen::inRange<std::uint32_t>(1, 12);
        const auto backlogged = random_classes(service);
        backlog_driver driver{service, slots};
        for (int i = 0; i < 300; ++i) {
            driver.run_round(backlogged, *rc::gen::inRange(1, 20));
            for (const auto priority : backlogged) {
                const double least =
                    share_of(service, priority) * driver.total - share_tolerance(service, priority);
                RC_ASSERT(driver.dispatched[priority] >= least);
            }
        }
    }));
}

// Guards against starvation of a less urgent class while the most urgent one overloads the queue,
// also when its deadlines are shorter than the wait for its share.
TEST(admission_properties, no_class_starves_even_with_short_deadlines)
{
    EXPECT_TRUE(rc::check([] {
        service_config service;
        const double weight = *rc::gen::inRange(1, 100);
        service.priorities = {{"urgent", milliseconds{20}, weight, true},
                              {"batch", milliseconds{2000}, 1.0, true}};
        admission_queue queue{service, 1};
        time_point now{};
        std::uint64_t id = 0;
        std::uint64_t running = 0;
        std::map<std::uint64_t, bool> is_batch;
        int batch_dispatched = 0;
        const int rounds = 6 * static_cast<int>(1.0 / share_of(service, 1));
        for (int i = 0; i < rounds; ++i) {
            const auto start = [&](std::uint64_t started) {
                running = started;
                // During the first half, the estimates do not reflect the overload yet.
                batch_dispatched += is_batch[started] && i >= rounds / 2 ? 1 : 0;
            };
            for (const bool batch : {false, false, true}) {
                is_batch[++id] = batch;
                const auto deadline = now + milliseconds{batch ? 25.0 : 200.0};
                if (queue.offer(id, batch ? 1 : 0, deadline, now).result == offer_state::admitted) {
                    start(id);
                }
            }
            now += milliseconds{10};
            queue.finish(running, {sample_kind::completed, milliseconds{10}}, now);
            while (const auto decision = queue.next(now)) {
                if (decision->starts()) {
                    start(decision->id);
                }
            }
        }
        RC_ASSERT(batch_dispatched >= 2);
    }));
}

} // namespace
} // namespace chestnutstand
