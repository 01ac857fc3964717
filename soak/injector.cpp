#include "injector.h"

#include "../tests/support/fleet.h"

#include "chestnutstand/support/log.h"

#include <csignal>
#include <thread>

namespace chestnutstand::soak {
namespace {

constexpr double publish_interval_ms = 2'500;
/// The store loses its waiting reads soon after every third document, 2 s before the next one. It
/// counts as no disturbance: the next document has to be in force in time.
constexpr double read_loss_delay_ms = 500;
constexpr double read_loss_interval_ms = 3 * publish_interval_ms;
constexpr double stop_poll_ms = 20;
/// Recovery time after a fault: connections are reopened, members are probed and config documents
/// are fetched.
constexpr double recovery_ms = 8'000;
constexpr milliseconds control_timeout{1'000};
constexpr double slow_service_ms = 400;

using testing::fault_direction;
using testing::fault_mode;

/// Selects the faults of a link by the variant. Responses are swapped only on upstream links, where
/// the node can detect a response to another request.
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

injector::injector(deployment& cluster, run_record& record, time_point start)
    : cluster_{cluster}, record_{record}, start_{start}, node_busy_(cluster.size()),
      upstream_busy_(cluster.size())
{
}

void injector::schedule(double due, std::function<void()> run)
{
    actions_.push({due, next_order_++, std::move(run)});
}

void injector::run(const std::vector<planned_fault>& plan, milliseconds length)
{
    const double begin = elapsed();
    for (const planned_fault& fault : plan) {
        schedule(begin + fault.from.count(), [this, fault] { apply(fault); });
    }
    for (double due = 0; due < length.count(); due += publish_interval_ms) {
        schedule(begin + due, [this] { publish(); });
    }
    for (double due = read_loss_delay_ms; due < length.count(); due += read_loss_interval_ms) {
        schedule(begin + due, [this] { cluster_.lose_reads(); });
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
    for (std::thread& waiter : exit_waiters_) {
        waiter.join();
    }
    exit_waiters_.clear();
}

void injector::record_disturbance(std::size_t node, double until, double cut_off_until)
{
    const double now = elapsed();
    record_.disturbances.push_back({node, {now, until + recovery_ms}, {now, cut_off_until}});
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
    record_disturbance(index, end, end);
    const bool is_kill = fault.kind == fault_kind::kill_node;
    if (is_kill) {
        cluster_.node(index).node->kill();
    }
    else {
        cluster_.node(index).node->signal(SIGSTOP);
    }
    schedule(end, [this, index, is_kill] {
        if (is_kill) {
            cluster_.start_node(index);
        }
        else {
            cluster_.node(index).node->signal(SIGCONT);
        }
        record_disturbance(index, elapsed(), elapsed());
        node_busy_[index] = false;
    });
}

void injector::stop_node(std::size_t index, double restart_after)
{
    stop_record stop;
    stop.node = index;
    stop.time.from = elapsed();
    record_.stops.push_back(stop);
    cluster_.node(index).node->signal(SIGTERM);
    // A separate thread records the exit time without delay while other faults keep this one busy.
    const auto exited_at = std::make_shared<std::atomic<double>>(0.0);
    exit_waiters_.emplace_back([this, exited_at, process = cluster_.node(index).node.get()] {
        process->wait();
        *exited_at = elapsed();
    });
    poll_stop(index, record_.stops.size() - 1, exited_at, restart_after);
}

void injector::poll_stop(std::size_t index, std::size_t record_index, const exit_time& exited_at,
                         double restart_after)
{
    if (*exited_at == 0.0) {
        schedule(elapsed() + stop_poll_ms, [this, index, record_index, exited_at, restart_after] {
            poll_stop(index, record_index, exited_at, restart_after);
        });
        return;
    }
    stop_record& stop = record_.stops[record_index];
    stop.time.to = *exited_at;
    stop.exit_status = cluster_.node(index).node->wait();
    for (const disturbance_record& other : record_.disturbances) {
        stop.disturbed |= other.node == index && other.callers_cut_off.overlaps(stop.time);
    }
    record_.disturbances.push_back(
        {index, {stop.time.from, stop.time.to + restart_after + recovery_ms}, {}});
    schedule(stop.time.to + restart_after, [this, index, record_index] {
        record_.stops[record_index].restart = elapsed();
        cluster_.start_node(index);
        record_disturbance(index, elapsed(), elapsed());
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
    record_disturbance(index, end, elapsed());
    const auto set_behaviour = [this, index](const nlohmann::json& behaviour) {
        const auto client = make_http_client();
        testing::exchange(*client, cluster_.node(index).upstream_port,
                          {"POST", "/behaviour", {}, behaviour.dump()}, control_timeout);
    };
    switch (fault.kind) {
    case fault_kind::pause_upstream:
        cluster_.node(index).upstream->signal(SIGSTOP);
        break;
    case fault_kind::kill_upstream:
        cluster_.node(index).upstream->kill();
        break;
    case fault_kind::slow_upstream:
        set_behaviour({{"service_ms", slow_service_ms}});
        break;
    case fault_kind::shedding_upstream:
        set_behaviour({{"shed", true}});
        break;
    case fault_kind::failing_upstream:
        set_behaviour({{"fail_fast", true}});
        break;
    default:
        set_behaviour({{"cross_answers", true}});
        break;
    }
    schedule(end, [this, index, set_behaviour, kind = fault.kind] {
        upstream_busy_[index] = false;
        if (kind == fault_kind::pause_upstream) {
            cluster_.node(index).upstream->signal(SIGCONT);
        }
        else if (kind == fault_kind::kill_upstream) {
            cluster_.start_upstream(index);
        }
        else {
            set_behaviour({{"service_ms", deployment::service_ms},
                           {"shed", false},
                           {"fail_fast", false},
                           {"cross_answers", false}});
        }
    });
}

void injector::apply_to_link(const planned_fault& fault)
{
    soak_node& entry = cluster_.node(fault.node);
    testing::relay* link = entry.caller_link;
    if (fault.kind == fault_kind::node_link) {
        link = entry.node_link;
    }
    else if (fault.kind == fault_kind::upstream_link) {
        link = entry.upstream_link;
    }
    else if (fault.kind == fault_kind::store_link) {
        link = entry.store_link;
    }
    const double end = elapsed() + fault.duration.count();
    // Connections that were frozen by a fault stay silent after its end.
    const bool is_caller_link = fault.kind == fault_kind::caller_link;
    record_disturbance(fault.node, end, is_caller_link ? end + recovery_ms : elapsed());
    link->set_faults(link_faults(fault));
    schedule(end, [link] { link->set_faults({}); });
}

void injector::apply_to_gossip(const planned_fault& fault)
{
    datagram_relay* link = cluster_.node(fault.node).gossip_link;
    const double end = elapsed() + fault.duration.count();
    record_disturbance(fault.node, end, elapsed());
    datagram_faults faults;
    if (fault.kind == fault_kind::gossip_delay) {
        faults.delay = milliseconds{static_cast<double>(50 + fault.variant % 500)};
    }
    else {
        faults.loss = fault.kind == fault_kind::gossip_cut ? 1.0 : 0.5;
    }
    link->set_faults(faults);
    schedule(end, [link] { link->set_faults({}); });
}

void injector::pause_store(const planned_fault& fault)
{
    if (store_busy_) {
        return;
    }
    store_busy_ = true;
    const double end = elapsed() + fault.duration.count();
    record_.store_disturbances.push_back({elapsed(), end + recovery_ms});
    cluster_.store().signal(SIGSTOP);
    schedule(end, [this] {
        cluster_.store().signal(SIGCONT);
        store_busy_ = false;
    });
}

void injector::publish()
{
    const double before = elapsed();
    // Never reuse a version: a paused store may still write this document later.
    if (cluster_.publish(++version_)) {
        record_.publications.push_back({version_, elapsed()});
        return;
    }
    log_event(log_level::warning, "document not accepted by the store",
              {{"version", version_}, {"at_ms", before}});
}

} // namespace chestnutstand::soak
