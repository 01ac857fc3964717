// Stand-ins for the scripts of this review: the platform's store, backends, clients, and the part
// of the platform that starts, watches and ends the processes of the system. All of them run as
// threads of one program; the nodes are separate processes.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit statuses of a case.
constexpr int status_held = 0;
constexpr int status_broken = 1;
constexpr int status_not_run = 2;

/// Whether the disruption is to be brought about: TROUBLE is not 0.
bool trouble();

/// Ends the program at once, as threads of the stand-ins still run.
[[noreturn]] void finish(int status);

/// Writes lines with the time since the start to the file that RECORD names.
class record_file {
public:
    record_file();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
    clock_type::time_point start_ = clock_type::now();
};

record_file& record();

/// Ends the program with the status for a case that could not run.
[[noreturn]] void give_up(const std::string& reason);

void sleep_ms(double ms);

/// Unix time in milliseconds.
std::int64_t unix_ms();

/// Milliseconds since the given time.
double ms_since(clock_type::time_point start);

/// Closes the descriptor when it is destroyed.
class connection {
public:
    explicit connection(int descriptor = -1) : descriptor_{descriptor} {}
    connection(connection&& other) noexcept : descriptor_{std::exchange(other.descriptor_, -1)} {}
    connection& operator=(connection&& other) noexcept;
    ~connection();

    static connection open(const std::string& ip, std::uint16_t port);
    explicit operator bool() const { return descriptor_ != -1; }
    int descriptor() const { return descriptor_; }
    /// Sends all bytes; false if the connection ends or takes none for the given time.
    bool send(std::string_view bytes, double timeout_ms = 5'000) const;
    /// Receives some bytes. Returns nullopt after the given time; empty at the end.
    std::optional<std::string> receive(double timeout_ms) const;

private:
    int descriptor_;
};

struct message {
    std::string first_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(const std::string& name) const;
};

enum class read_end : std::uint8_t { complete, closed, timed_out };

/// Reads messages with a length from one connection.
class message_reader {
public:
    explicit message_reader(const connection& from) : from_{from} {}
    read_end read(message& out, double timeout_ms);

private:
    const connection& from_;
    std::string buffer_;
};

/// Accepts connections on a free port and serves each on a thread of its own.
class server {
public:
    using handler = std::function<void(const connection&)>;
    server(const std::string& ip, handler handle);
    std::uint16_t port() const { return port_; }
    /// Refuses further connections and cuts all others.
    void close();

private:
    struct sockets {
        std::mutex mutex;
        int listener = -1;
        std::set<int> accepted;
    };
    std::shared_ptr<sockets> sockets_ = std::make_shared<sockets>();
    std::uint16_t port_ = 0;
};

/// The platform's store: keyed topics with one partition.
class store {
public:
    explicit store(const std::string& ip);
    std::string address() const { return ip_ + ":" + std::to_string(server_.port()); }
    void put(const std::string& topic, const std::string& key, const std::string& value);

private:
    struct stored {
        std::string key;
        std::string value;
    };
    void serve(const connection& client);
    std::string answer(const message& request);

    std::string ip_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<stored>> topics_;
    server server_;
};

/// Ports that are the same on all machines.
struct port_plan {
    std::uint16_t outbound = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t node = 0;
    std::uint16_t admin = 0;
};

struct machine_options {
    std::string ip;
    std::string zone;
    std::string service;
    int memory_mb = 260;
    int descriptors = 4'100;
};

/// A machine with its node.
class machine {
public:
    machine(machine_options options, const port_plan& ports, const std::string& store_address,
            const std::string& folder);
    machine(const machine&) = delete;
    machine& operator=(const machine&) = delete;
    ~machine();

    void start();
    void signal(int number) const;
    /// Ends the process and waits for it.
    void kill();
    /// Whether the process has ended by itself; its exit status is recorded.
    bool has_ended();
    /// Resident memory in MiB.
    double memory_mb() const;
    /// Whether the readiness address answers 200.
    bool ready() const;

    const std::string& ip() const { return options_.ip; }
    const machine_options& options() const { return options_; }
    const port_plan& ports() const { return ports_; }

private:
    machine_options options_;
    port_plan ports_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

struct backend_options {
    int slots = 9;
    double work_ms = 60;
};

/// A backend: answers requests after its work, and sends heartbeats to the node of its machine.
class backend {
public:
    backend(const machine& beside, std::string id, backend_options options);
    ~backend();

    /// Changes the time that requests take.
    void set_work(double ms) { work_ms_ = ms; }
    struct run {
        std::string request_id;
        clock_type::time_point arrived;
    };
    /// Requests that have been run, in the order of their arrival.
    std::vector<run> runs();
    const std::string& id() const { return id_; }
    std::uint16_t port() const { return server_.port(); }
    std::int64_t born_ms() const { return born_ms_; }

    /// Reports that the backend leaves; heartbeats repeat it. Its health path says so as well.
    /// Returns when the node acknowledged it, or gives up.
    clock_type::time_point drain();
    /// Says DELETE to the node and sends no more heartbeats; the backend goes on serving. Returns
    /// when the node acknowledged it, or gives up.
    clock_type::time_point leave();
    /// The next heartbeat in full, with a sequence number of its own; it is not sent.
    std::string next_heartbeat();
    /// Sends a heartbeat with this body for this backend. Returns whether it was acknowledged.
    bool send_heartbeat(const std::string& body) const;
    void stop_heartbeats() { beating_ = false; }
    /// The process of the backend ends: what runs is cut off.
    void end()
    {
        beating_ = false;
        server_.close();
        record().line(id_ + " ends");
    }

private:
    void serve(const connection& client);
    void beat();

    const machine& beside_;
    std::string id_;
    backend_options options_;
    std::atomic<double> work_ms_;
    std::mutex mutex_;
    std::vector<run> runs_;
    std::atomic<int> running_ = 0;
    std::atomic<int> sequence_ = 0;
    std::atomic<bool> leaving_ = false;
    std::atomic<bool> beating_ = true;
    std::atomic<bool> stopping_ = false;
    std::int64_t born_ms_;
    server server_;
    std::thread beats_;
};

/// A small deployment: a store and machines in the zones of whitcombe-dues.
class deployment {
public:
    /// One service a machine.
    explicit deployment(const std::vector<std::string>& services, int memory_mb = 260);

    /// Ends all nodes. The stand-ins run until the program ends, which has to follow.
    void stop();

    store& platform() { return *store_; }
    machine& at(std::size_t index) { return *machines_.at(index); }
    backend& backend_at(std::size_t index) { return *backends_.at(index); }
    std::size_t size() const { return machines_.size(); }
    /// Adds the backend beside a machine.
    void add_backends(const backend_options& options);
    /// Waits until all nodes are ready and the request is served at each; else gives up.
    void wait_until_served(const std::string& request_line, const std::string& host);

private:
    std::string folder_;
    std::unique_ptr<store> store_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::unique_ptr<backend>> backends_;
};

struct route {
    std::string host;
    std::string prefix;
    std::string service;
    std::string kind;
    int timeout_ms = 800;
    int target_ms = 200;
    int rank = 1;
    int attempts = 2;
};

/// The operator's record op/config, in the names of deploy/wire.toml.
std::string config_text(int version, const std::vector<route>& routes,
                        const std::vector<std::string>& services);

/// Head of a request up to the end of its named headers, without the empty line.
std::string request_head(const std::string& request_line, const std::string& host,
                         const std::string& id, int deadline_ms);

struct answer {
    read_end end = read_end::closed;
    int status = 0;
    double elapsed_ms = 0;
    message content;
};

/// Sends one request on a new connection and waits for its answer.
answer ask(const machine& at, const std::string& request, double wait_ms);

std::string describe(const answer& got);

} // namespace review
