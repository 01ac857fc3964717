#include "injector.h"

#include "../tests/support/fleet.h"

#include "chestnutstand/support/log.h"

#include <csignal>
#include <thread>

namespace chestnutstand::soak {
namespace {

constexpr double publish_interval_ms = 2'500;
constexpr double stop_poll_ms = 20;
/// After a fault has ended, what it has touched needs time: connections are made again, members are
/// probed, documents are fetched.
constexpr double aftermath_ms = 8'000;
constexpr milliseconds control_timeout{1'000};
constexpr double slow_service_ms = 400;

using testing::fault_direction;
using testing::fault_mode;

/// Faults of one link by the variant; only those where nodes can tell a wrong answer from a right
/// one may swap answers.
testing::fault_settings link_faults(const planned_fault& fault)
{
    std::vector<fault_mode> modes{fault_mode::cut, fault_mode::delay, fault_mode::freeze,
                                  fault_mode::drop_response, fault_mode::truncate};
    if (fault.kind == fault_kind::upstream_link) {
        modes.push_back(fault_mode::cross);
        modes.push_back(fault_mode::cross);
    }
    testing::fault_settings settings;
    settings.mode = modes[fault.variant % modes.size()];
    settings.direction = static_cast<fault_direction>(fault.variant / modes.size() %
                                                      testing::fault_direction_names.size());
    settings.delay = milliseconds{static_cast<double>(20 + fault.variant % 300)};
    settings.bytes = fault.variant % 200;
    return settings;
}

} // namespace

injector::injector(deployment& all, run_record& record, time_point start)
    : all_{all}, record_{record}, start_{start}, node_busy_(all.size()), upstream_busy_(all.size())
{
}

void injector::at(double due, std::function<void()> run)
{
    actions_.push({due, next_order_++, std::move(run)});
}

void injector::run(const std::vector<planned_fault>& plan, milliseconds length)
{
    const double begin = elapsed();
    for (const planned_fault& fault : plan) {
        at(begin + fault.from.count(), [this, fault] { apply(fault); });
    }
    for (double due = 0; due < length.count(); due += publish_interval_ms) {
        at(begin + due, [this] { publish(); });
    }
    while (!actions_.empty()) {
        const double wait = actions_.top().due - elapsed();
        if (wait > 0) {
            std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{wait});
        }
        const auto next = actions_.top().run;
        actions_.pop();
        next();
    }
    for (std::thread& each : waiters_) {
        each.join();
    }
    waiters_.clear();
}

void injector::disturb(std::size_t node, double until, double cut_off_until)
{
    const double now = elapsed();
    record_.disturbances.push_back({node, {now, until + aftermath_ms}, {now, cut_off_until}});
}

void injector::apply(const planned_fault& fault)
{
    log_event(log_level::info, "fault begins",
              {{"kind", std::string{fault_kind_names.name(fault.kind)}},
               {"node", static_cast<std::uint64_t>(fault.node)},
               {"at_ms", elapsed()},
               {"duration_ms", fault.duration.count()}});
    switch (fault.kind) {
    case fault_kind::pause_node:
    case fault_kind::kill_node:
    case fault_kind::stop_node:
        apply_to_process(fault);
        break;
    case fault_kind::pause_upstream:
    case fault_kind::kill_upstream:
    case fault_kind::slow_upstream:
    case fault_kind::shedding_upstream:
    case fault_kind::failing_upstream:
    case fault_kind::crossed_answers:
        apply_to_upstream(fault);
        break;
    case fault_kind::caller_link:
    case fault_kind::node_link:
    case fault_kind::upstream_link:
    case fault_kind::store_link:
        apply_to_link(fault);
        break;
    case fault_kind::gossip_cut:
    case fault_kind::gossip_loss:
    case fault_kind::gossip_delay:
        apply_to_gossip(fault);
        break;
    case fault_kind::pause_store:
        pause_store(fault);
        break;
    }
}

void injector::apply_to_process(const planned_fault& fault)
{
    const std::size_t index = fault.node;
    if (node_busy_[index]) {
        return;
    }
    node_busy_[index] = true;
    const double end = elapsed() + fault.duration.count();
    if (fault.kind == fault_kind::stop_node) {
        stop_node(index, fault.duration.count());
        return;
    }
    disturb(index, end, end);
    const bool kills = fault.kind == fault_kind::kill_node;
    if (kills) {
        all_.node(index).node->kill();
    }
    else {
        all_.node(index).node->signal(SIGSTOP);
    }
    at(end, [this, index, kills] {
        if (kills) {
            all_.start_node(index);
        }
        else {
            all_.node(index).node->signal(SIGCONT);
        }
        disturb(index, elapsed(), elapsed());
        node_busy_[index] = false;
    });
}

void injector::stop_node(std::size_t index, double restart_after)
{
    stop_record stop;
    stop.node = index;
    stop.time.from = elapsed();
    record_.stops.push_back(stop);
    all_.node(index).node->signal(SIGTERM);
    // A thread of its own sees the end at once, while other faults keep this one busy.
    const auto ended = std::make_shared<std::atomic<double>>(0.0);
    waiters_.emplace_back([this, ended, process = all_.node(index).node.get()] {
        process->wait();
        *ended = elapsed();
    });
    poll_stop(index, record_.stops.size() - 1, ended, restart_after);
}

void injector::poll_stop(std::size_t index, std::size_t record, const end_time& ended,
                         double restart_after)
{
    if (*ended == 0.0) {
        at(elapsed() + stop_poll_ms, [this, index, record, ended, restart_after] {
            poll_stop(index, record, ended, restart_after);
        });
        return;
    }
    stop_record& stop = record_.stops[record];
    stop.time.to = *ended;
    stop.exit_status = all_.node(index).node->wait();
    for (const disturbance_record& each : record_.disturbances) {
        stop.disturbed |= each.node == index && each.callers_cut_off.meets(stop.time);
    }
    record_.disturbances.push_back(
        {index, {stop.time.from, stop.time.to + restart_after + aftermath_ms}, {}});
    at(stop.time.to + restart_after, [this, index, record] {
        record_.stops[record].restart = elapsed();
        all_.start_node(index);
        disturb(index, elapsed(), elapsed());
        node_busy_[index] = false;
    });
}

void injector::apply_to_upstream(const planned_fault& fault)
{
    const std::size_t index = fault.node;
    if (upstream_busy_[index]) {
        return;
    }
    upstream_busy_[index] = true;
    const double end = elapsed() + fault.duration.count();
    disturb(index, end, elapsed());
    const auto set = [this, index](const nlohmann::json& behaviour) {
        const auto client = make_http_client();
        testing::exchange(*client, all_.node(index).upstream_port,
                          {"POST", "/behaviour", {}, behaviour.dump()}, control_timeout);
    };
    switch (fault.kind) {
    case fault_kind::pause_upstream:
        all_.node(index).upstream->signal(SIGSTOP);
        break;
    case fault_kind::kill_upstream:
        all_.node(index).upstream->kill();
        break;
    case fault_kind::slow_upstream:
        set({{"service_ms", slow_service_ms}});
        break;
    case fault_kind::shedding_upstream:
        set({{"shed", true}});
        break;
    case fault_kind::failing_upstream:
        set({{"fail_fast", true}});
        break;
    default:
        set({{"cross_answers", true}});
        break;
    }
    at(end, [this, index, set, kind = fault.kind] {
        upstream_busy_[index] = false;
        if (kind == fault_kind::pause_upstream) {
            all_.node(index).upstream->signal(SIGCONT);
        }
        else if (kind == fault_kind::kill_upstream) {
            all_.start_upstream(index);
        }
        else {
            set({{"service_ms", deployment::service_ms},
                 {"shed", false},
                 {"fail_fast", false},
                 {"cross_answers", false}});
        }
    });
}

void injector::apply_to_link(const planned_fault& fault)
{
    soak_node& which = all_.node(fault.node);
    testing::relay* link = which.caller_link;
    if (fault.kind == fault_kind::node_link) {
        link = which.node_link;
    }
    else if (fault.kind == fault_kind::upstream_link) {
        link = which.upstream_link;
    }
    else if (fault.kind == fault_kind::store_link) {
        link = which.store_link;
    }
    const double end = elapsed() + fault.duration.count();
    // Connections that a fault has frozen stay silent after it.
    const bool of_callers = fault.kind == fault_kind::caller_link;
    disturb(fault.node, end, of_callers ? end + aftermath_ms : elapsed());
    link->set_faults(link_faults(fault));
    at(end, [link] { link->set_faults({}); });
}

void injector::apply_to_gossip(const planned_fault& fault)
{
    datagram_relay* link = all_.node(fault.node).gossip_link;
    const double end = elapsed() + fault.duration.count();
    disturb(fault.node, end, elapsed());
    datagram_faults faults;
    if (fault.kind == fault_kind::gossip_delay) {
        faults.delay = milliseconds{static_cast<double>(50 + fault.variant % 500)};
    }
    else {
        faults.loss = fault.kind == fault_kind::gossip_cut ? 1.0 : 0.5;
    }
    link->set_faults(faults);
    at(end, [link] { link->set_faults({}); });
}

void injector::pause_store(const planned_fault& fault)
{
    if (store_busy_) {
        return;
    }
    store_busy_ = true;
    const double end = elapsed() + fault.duration.count();
    record_.store_disturbances.push_back({elapsed(), end + aftermath_ms});
    all_.store().signal(SIGSTOP);
    at(end, [this] {
        all_.store().signal(SIGCONT);
        store_busy_ = false;
    });
}

void injector::publish()
{
    const double before = elapsed();
    // A paused store may still write it later; the number is not used again.
    if (all_.publish(++version_)) {
        record_.publications.push_back({version_, elapsed()});
        return;
    }
    log_event(log_level::warning, "document not accepted by the store",
              {{"version", version_}, {"at_ms", before}});
}

} // namespace chestnutstand::soak
