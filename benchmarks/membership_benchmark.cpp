/// Measures the gossip membership protocol in simulated time: convergence of joins, deaths and
/// drains, false deaths, and traffic per node, by cluster size and packet loss. Prints Markdown
/// tables.

#include "gossip_network.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <vector>

namespace chestnutstand {
namespace {

constexpr milliseconds one_second{1'000};
constexpr milliseconds idle_span = 120 * one_second;
/// Pause between drains; longer than the time in which their updates are disseminated.
constexpr milliseconds drain_pause = 30 * one_second;
constexpr milliseconds settle_timeout = 600 * one_second;
constexpr milliseconds partition_span = 180 * one_second;
constexpr milliseconds event_timeout = 120 * one_second;
constexpr milliseconds mass_event_timeout = 600 * one_second;
constexpr int events_of_each_kind = 8;
constexpr double no_loss = 0.0;
constexpr double low_loss = 0.02;

/// Times until all nodes have learned of an event.
class convergence {
public:
    void add(milliseconds time)
    {
        sum_ += time;
        max_ = std::max(max_, time);
        ++count_;
    }
    double mean_s() const { return sum_ / one_second / count_; }
    double max_s() const { return max_ / one_second; }
    double sum_s() const { return sum_ / one_second; }

private:
    milliseconds sum_{0};
    milliseconds max_{0};
    int count_ = 0;
};

struct measurement {
    convergence join;
    convergence death;
    convergence drain;
    std::uint64_t suspicions = 0;
    std::uint64_t false_deaths = 0;
    double idle_bytes_per_s = 0;
    double bytes_per_change = 0;
    double sync_bytes_per_s = 0;
    /// Processor time per node and simulated second, including that of the simulation.
    double cpu_us_per_s = 0;
};

bool is_known_to_all(const gossip_network& network, std::uint64_t subject,
                     const std::function<bool(const swim&, const member&)>& predicate)
{
    return network.all_running([&](const swim& observer) {
        if (observer.self().node.instance == subject) {
            return true;
        }
        const member* entry = observer.table().find(subject);
        return entry != nullptr && predicate(observer, *entry);
    });
}

/// Runs until no node has queued updates of earlier events, or the timeout expires.
void run_until_queues_empty(gossip_network& network)
{
    const time_point begin = network.now();
    do {
        network.run_for(10 * one_second);
    } while (network.now() - begin < settle_timeout &&
             !network.all_running([](const swim& node) { return node.queued_updates() == 0; }));
}

milliseconds measure_join(gossip_network& network)
{
    const std::size_t slot = network.add("howrah");
    const std::uint64_t subject = network.instance(slot);
    return network.run_until(
        [&] {
            return is_known_to_all(network, subject, [](const swim& observer, const member& entry) {
                return observer.is_routable(entry);
            });
        },
        event_timeout);
}

milliseconds measure_drain(gossip_network& network, std::size_t slot)
{
    network.node(slot).set_draining();
    const std::uint64_t subject = network.instance(slot);
    return network.run_until(
        [&] {
            return is_known_to_all(network, subject, [](const swim& observer, const member& entry) {
                return !observer.is_routable(entry);
            });
        },
        event_timeout);
}

milliseconds measure_death(gossip_network& network, std::size_t slot)
{
    const std::uint64_t subject = network.instance(slot);
    network.kill(slot);
    return network.run_until(
        [&] {
            return is_known_to_all(network, subject,
                                   [](const swim& /*observer*/, const member& entry) {
                                       return entry.state == liveness::dead;
                                   });
        },
        event_timeout);
}

/// Bytes sent and received per node, as each sent datagram is received once.
double bytes_per_node(const gossip_network& network, std::uint64_t bytes)
{
    return 2.0 * static_cast<double>(bytes) / static_cast<double>(network.size());
}

measurement measure(std::size_t members, double loss)
{
    gossip_network_options options;
    options.loss = loss;
    gossip_network network{options};
    network.add_cluster(members, {"howrah", "salt-lake", "garia", "dum-dum"});
    run_until_queues_empty(network);
    measurement result;
    const std::uint64_t sync_begin = network.sync_bytes();
    const std::uint64_t idle_begin = network.datagram_bytes();
    const std::clock_t cpu_begin = std::clock();
    network.run_for(idle_span);
    const double idle_seconds = idle_span / one_second;
    result.cpu_us_per_s = static_cast<double>(std::clock() - cpu_begin) / CLOCKS_PER_SEC * 1e6 /
                          idle_seconds / static_cast<double>(members);
    result.idle_bytes_per_s =
        bytes_per_node(network, network.datagram_bytes() - idle_begin) / idle_seconds;
    result.sync_bytes_per_s =
        bytes_per_node(network, network.sync_bytes() - sync_begin) / idle_seconds;
    result.suspicions = network.suspicions_raised();
    result.false_deaths = network.deaths_declared();
    const std::uint64_t change_begin = network.datagram_bytes();
    for (int i = 0; i < events_of_each_kind; ++i) {
        const auto slot = static_cast<std::size_t>(i);
        result.drain.add(measure_drain(network, slot));
        network.run_for(drain_pause);
    }
    const double change_seconds =
        events_of_each_kind * (drain_pause / one_second) + result.drain.sum_s();
    result.bytes_per_change = (bytes_per_node(network, network.datagram_bytes() - change_begin) -
                               result.idle_bytes_per_s * change_seconds) /
                              events_of_each_kind;
    for (int i = 0; i < events_of_each_kind; ++i) {
        result.join.add(measure_join(network));
        network.run_for(one_second);
    }
    for (int i = 0; i < events_of_each_kind; ++i) {
        const auto slot = static_cast<std::size_t>(i);
        result.death.add(measure_death(network, slot));
        network.run_for(10 * one_second);
    }
    return result;
}

struct mass_event {
    milliseconds death{0};
    milliseconds rejoin{0};
    /// Time until the partitioned tenth of the nodes has declared all others dead.
    milliseconds minority_detection{0};
    double peak_death_bytes_per_s = 0;
    double peak_rejoin_bytes_per_s = 0;
    std::uint64_t false_deaths = 0;
};

/// Runs until the network has converged or the timeout expires and returns the time taken. Raises
/// `peak` to the highest traffic in one second.
milliseconds converge(gossip_network& network, double& peak)
{
    const time_point begin = network.now();
    while (!network.is_converged() && network.now() - begin < mass_event_timeout) {
        const std::uint64_t bytes = network.datagram_bytes() + network.sync_bytes();
        network.run_for(one_second);
        const std::uint64_t bytes_after = network.datagram_bytes() + network.sync_bytes();
        peak = std::max(peak, bytes_per_node(network, bytes_after - bytes));
    }
    return network.now() - begin;
}

/// Partitions a tenth of the nodes until both sides have declared each other dead, heals the
/// partition, then kills that tenth.
mass_event measure_mass_event(std::size_t members)
{
    gossip_network network{{}};
    network.add_cluster(members, {"howrah"});
    run_until_queues_empty(network);
    mass_event result;
    const std::size_t minority_size = members / 10;
    network.set_cut([&](std::size_t from, std::size_t to) {
        return (from < minority_size) != (to < minority_size);
    });
    result.minority_detection = network.run_until(
        [&] { return network.node(0).table().live().size() < minority_size; }, partition_span);
    network.run_for(partition_span - result.minority_detection);
    const std::uint64_t deaths = network.deaths_declared();
    network.set_cut(nullptr);
    result.rejoin = converge(network, result.peak_rejoin_bytes_per_s);
    result.false_deaths = network.deaths_declared() - deaths;
    run_until_queues_empty(network);
    for (std::size_t slot = 0; slot < minority_size; ++slot) {
        network.kill(slot);
    }
    result.death = converge(network, result.peak_death_bytes_per_s);
    return result;
}

void print_mass_event(std::size_t members, const mass_event& row)
{
    std::printf("| %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %llu |\n", members,
                row.death / one_second, row.peak_death_bytes_per_s,
                row.minority_detection / one_second, row.rejoin / one_second,
                row.peak_rejoin_bytes_per_s, static_cast<unsigned long long>(row.false_deaths));
    std::fflush(stdout);
}

void print_row(std::size_t members, double loss, const measurement& row)
{
    std::printf("| %zu | %.0f%% | %.2f/%.2f | %.2f/%.2f | %.2f/%.2f | %llu | %llu | %.0f | %.0f | "
                "%.0f | %.0f |\n",
                members, loss * 100.0, row.join.mean_s(), row.join.max_s(), row.death.mean_s(),
                row.death.max_s(), row.drain.mean_s(), row.drain.max_s(),
                static_cast<unsigned long long>(row.suspicions),
                static_cast<unsigned long long>(row.false_deaths), row.idle_bytes_per_s,
                row.sync_bytes_per_s, row.bytes_per_change, row.cpu_us_per_s);
    std::fflush(stdout);
}

} // namespace
} // namespace chestnutstand

int main(int argc, char** argv)
{
    std::vector<std::size_t> sizes{10, 50, 200};
    if (argc > 1) {
        sizes.clear();
    }
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    std::printf("| members | loss | join s, mean/max | death s, mean/max | drain s, mean/max | "
                "suspicions | false deaths | "
                "quiet B/s | sync B/s | B per change | CPU us/s |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t members : sizes) {
        for (const double loss : {chestnutstand::no_loss, chestnutstand::low_loss}) {
            chestnutstand::print_row(members, loss, chestnutstand::measure(members, loss));
        }
    }
    std::printf(
        "\n| members | tenth killed: s | peak B/s | tenth cut off: s | rejoins: s | peak B/s | "
        "false deaths after |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t members : sizes) {
        chestnutstand::print_mass_event(members, chestnutstand::measure_mass_event(members));
    }
    return 0;
}
