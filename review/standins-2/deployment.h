// Stand-ins for the platform of a small deployment: the store, the machines
// with their processes and upstreams, and the record of what was seen. The
// nodes are the project's own program, started with the command of the deploy
// file.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

void sleep_s(double seconds);

/// Lines of record.txt with the time since the start of the case.
class record {
public:
    explicit record(const std::string& path) : file_{path} {}

    void line(const std::string& text);
    double now_s() const;

private:
    std::mutex mutex_;
    std::ofstream file_;
    steady::time_point start_ = steady::now();
};

/// The platform's store: keyed topics with one partition, in memory. It serves
/// log-append, log-newest and log-read, and loses nothing.
class store {
public:
    store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    ~store();

    std::uint16_t port() const { return server_.port(); }
    /// Writes a record as the operator does. Its return is the acknowledgement.
    void write(const std::string& topic, const std::string& key, const std::string& value);
    /// A busy store answers every call with 503 and does nothing.
    void set_busy(bool busy);

private:
    struct entry {
        std::string key;
        std::string value;
    };

    std::optional<std::string> handle(const request& asked);
    std::string append(const std::string& topic, std::string_view body);
    std::string newest(const std::string& topic);
    std::string read(const std::string& topic, const std::string& target);

    std::mutex mutex_;
    std::condition_variable written_;
    std::map<std::string, std::vector<entry>> topics_;
    bool stopping_ = false;
    std::atomic<bool> busy_ = false;
    listener server_;
};

/// A request as it arrived at an upstream that runs it.
struct run {
    double at_s = 0.0;
    std::string address;
    std::string service;
    request asked;
};

struct upstream_options {
    std::string service;
    int slots = 12;
    /// Time of the work for a target.
    std::function<double(const request&)> work_s = [](const request&) { return 0.02; };
    /// Headers that the upstream adds to its answers.
    headers extra_fields{};
    /// Whether the deployment keeps what the upstream ran.
    bool keeps_runs = true;
};

/// One machine: a node process and the upstream beside it, which registers with
/// the node.
class machine {
public:
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    ~machine();

    const std::string& address() const { return address_; }
    const std::string& service() const { return options_.service; }

    void start_node();
    void signal_node(int number) const;
    /// Sends SIGKILL and waits for the end.
    void kill_node();
    /// Whether the process runs; collects its end otherwise.
    bool node_runs();
    /// Resident memory of the node in MiB; 0 if it does not run.
    double node_memory_mib() const;

    /// The upstream leaves without having reported that it drains: it sends no
    /// heartbeat any more, deregisters, and goes on serving. Returns whether the
    /// node acknowledged it.
    bool leave();
    /// A heartbeat that the upstream has sent and that has not arrived yet.
    request heartbeat();

private:
    friend class deployment;
    machine(class deployment& owner, std::string address, std::string zone,
            upstream_options options);

    std::optional<std::string> handle(const request& asked);
    void send_heartbeats();

    deployment& owner_;
    std::string address_;
    std::string zone_;
    upstream_options options_;
    std::string id_;
    std::string settings_file_;
    std::int64_t born_ms_ = 0;
    pid_t process_ = -1;
    std::unique_ptr<listener> server_;
    std::atomic<int> running_ = 0;
    std::atomic<std::uint64_t> sequence_ = 0;
    std::atomic<bool> leaving_ = false;
    std::atomic<bool> stopping_ = false;
    std::thread heartbeats_;
};

struct deployment_ports {
    std::uint16_t callers = free_port();
    std::uint16_t readiness = free_port();
    std::uint16_t registration = free_port();
    std::uint16_t nodes = free_port();
    std::uint16_t operators = free_port();
    std::uint16_t upstreams = free_port();
};

class deployment {
public:
    /// The record lies beside the case.
    explicit deployment(const std::string& record_file);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment();

    /// Adds a machine in the data centre; its node is started by start().
    machine& add(const std::string& zone, upstream_options options);
    /// Starts all nodes and waits until each says that it is ready and has had
    /// time to learn of the others. Returns false if one does not become ready.
    bool start();

    /// Writes the operator's document and returns the time of the
    /// acknowledgement.
    double configure(const std::string& document);
    /// Begins or ends a time in which the platform's store is busy.
    void set_store_busy(bool busy);

    record& log() { return log_; }
    const deployment_ports& ports() const { return ports_; }
    std::vector<std::unique_ptr<machine>>& machines() { return machines_; }
    std::vector<run> runs();
    void clear_runs();

    /// Sends a request of a client to the node of a machine.
    answer ask(const machine& entry, const request& message, double timeout_s) const;
    std::string next_request_id();

private:
    friend class machine;
    void note_run(run seen);

    record log_;
    deployment_ports ports_;
    store store_;
    std::string directory_;
    /// The first three numbers of the machines' addresses.
    std::string network_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::uint64_t next_id_ = 0;
};

/// Whether the case is to be played with its disruption.
bool with_trouble();

/// Limits of a document like those of the small sites.
inline constexpr const char* document_limits =
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,)"
    R"("idle_timeout_ms":15000})";

inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Bounds of the small sites.
inline constexpr double stable_window_s = 3.0;
inline constexpr double config_apply_s = 2.0;
inline constexpr double machine_memory_mb = 260.0;

} // namespace review
