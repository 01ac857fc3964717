// Stand-ins of the review: the platform's store, backends, clients, and the processes of the nodes.

#pragma once

#include "net.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>

namespace review {

/// Writes what was sent, answered and run to record.txt, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(const std::string& file) : out_{file} {}

    void add(const std::string& line)
    {
        const std::lock_guard lock{mutex_};
        char time[32];
        std::snprintf(time, sizeof time, "%9.1f  ", ms_between(start_, steady::now()));
        out_ << time << line << std::endl;
    }

private:
    const steady::time_point start_ = steady::now();
    std::mutex mutex_;
    std::ofstream out_;
};

/// Accepts connections and runs a function for each in a thread of its own.
class listener {
public:
    using serve_function = std::function<void(connection&)>;

    listener(const endpoint& at, serve_function serve) : serve_{std::move(serve)}
    {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = to_sockaddr(at);
        if (::bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(socket_, 1'024) != 0) {
            std::fprintf(stderr, "cannot listen on %s\n", at.text().c_str());
            std::_Exit(2);
        }
        std::thread{[this] { accept_all(); }}.detach();
    }

private:
    void accept_all()
    {
        while (true) {
            const int accepted = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted == -1) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread{[this, accepted] {
                connection peer{accepted};
                serve_(peer);
            }}.detach();
        }
    }

    int socket_ = -1;
    serve_function serve_;
};

inline std::string response(const std::string& status, const std::string& headers,
                            const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: keyed topics with one partition, in memory.
class platform_store {
public:
    explicit platform_store(const endpoint& at)
        : listener_{at, [this](connection& peer) { serve(peer); }}
    {
    }

    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        const std::lock_guard lock{mutex_};
        topics_[topic].push_back({key, value});
    }

private:
    struct record {
        std::string key;
        std::string value;
    };

    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string out;
        for (int i = bytes - 1; i >= 0; --i) {
            out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
        }
        return out;
    }

    static std::string base64(const std::string& text)
    {
        constexpr const char* digits =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string out;
        for (std::size_t i = 0; i < text.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = (group << 8) |
                        (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                out.push_back(i + j <= text.size() ? digits[(group >> (18 - 6 * j)) & 0x3f] : '=');
            }
        }
        return out;
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const std::size_t at = target.find(name + "=");
        if (at == std::string::npos) {
            return "";
        }
        const std::size_t start = at + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }

    void serve(connection& peer)
    {
        message request;
        while (peer.read(request, steady::now() + std::chrono::hours{1}) == read_end::complete) {
            const std::string target = request.target();
            const std::string topic = parameter(target, "Topic");
            std::string answer;
            if (target.rfind("/-/log-append", 0) == 0) {
                answer = append(topic, request.body);
            }
            else if (target.rfind("/-/log-newest", 0) == 0) {
                answer = newest(topic);
            }
            else if (target.rfind("/-/log-read", 0) == 0) {
                answer = read(topic, std::strtoul(parameter(target, "From").c_str(), nullptr, 10),
                              std::strtoul(parameter(target, "WaitMs").c_str(), nullptr, 10));
            }
            else {
                answer = response("404 Not Found", "", "");
            }
            if (!peer.send(answer)) {
                return;
            }
        }
    }

    std::string append(const std::string& topic, const std::string& bytes)
    {
        const std::size_t key_bytes = static_cast<unsigned char>(bytes.at(4));
        const std::lock_guard lock{mutex_};
        auto& records = topics_[topic];
        records.push_back({bytes.substr(5, key_bytes), bytes.substr(5 + key_bytes)});
        return response("200 OK", "Content-Type: application/json\r\n",
                        "{\"Offset\":" + std::to_string(records.size() - 1) +
                            ",\"EndOffset\":" + std::to_string(records.size()) + "}");
    }

    std::string newest(const std::string& topic)
    {
        const std::lock_guard lock{mutex_};
        const auto& records = topics_[topic];
        std::map<std::string, std::string> items;
        for (std::size_t i = 0; i < records.size(); ++i) {
            items[records[i].key] = "{\"Key\":\"" + records[i].key + "\",\"Value\":\"" +
                                    base64(records[i].value) +
                                    "\",\"Offset\":" + std::to_string(i) + "}";
        }
        std::string list;
        for (const auto& [key, item] : items) {
            list += (list.empty() ? "" : ",") + item;
        }
        return response("200 OK", "Content-Type: application/json\r\n",
                        "{\"items\":[" + list + "],\"HasMore\":false,\"EndOffset\":" +
                            std::to_string(records.size()) + "}");
    }

    std::string read(const std::string& topic, std::size_t from, std::size_t wait_ms)
    {
        const auto until = steady::now() + milliseconds{wait_ms};
        while (true) {
            {
                const std::lock_guard lock{mutex_};
                const auto& records = topics_[topic];
                if (from < records.size() || steady::now() >= until) {
                    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
                    for (std::size_t i = from; i < records.size(); ++i) {
                        const auto& [key, value] = records[i];
                        body += big_endian(1 + key.size() + value.size(), 4) +
                                big_endian(key.size(), 1) + key + value;
                    }
                    return response("200 OK", "Content-Type: application/octet-stream\r\n", body);
                }
            }
            std::this_thread::sleep_for(milliseconds{5});
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::vector<record>> topics_;
    listener listener_;
};

/// A text that several relays look for, until one of them has found it.
class shared_text {
public:
    explicit shared_text(std::string text) : text_{std::move(text)} {}

    bool take_from(const std::string& bytes)
    {
        const std::lock_guard lock{mutex_};
        const bool found = !text_.empty() && bytes.find(text_) != std::string::npos;
        if (found) {
            text_.clear();
        }
        return found;
    }

private:
    std::mutex mutex_;
    std::string text_;
};

/// Relays TCP connections to a target. One connection can be silenced: it stays open and transfers
/// no more bytes, and no end of the connection, in either direction.
class relay {
public:
    relay(const endpoint& at, const endpoint& target, recorder& record)
        : target_{target}, record_{record}, listener_{at, [this](connection& peer) { serve(peer); }}
    {
    }

    /// Silences the connection on which a request with the text is sent, from the moment at which
    /// its response arrives at the relay. The first of the relays that share the text does so, and
    /// no other; new connections stay usable.
    void silence_response_to(std::shared_ptr<shared_text> text)
    {
        const std::lock_guard lock{mutex_};
        text_ = std::move(text);
    }

private:
    void serve(connection& client)
    {
        auto target = connect_to(target_);
        if (!target) {
            client.reset();
            return;
        }
        const auto forever = steady::now() + std::chrono::hours{1};
        bool awaits_silence = false;
        while (true) {
            pollfd inputs[2] = {{client.descriptor(), POLLIN, 0},
                                {target->descriptor(), POLLIN, 0}};
            ::poll(inputs, 2, -1);
            if (inputs[0].revents != 0) {
                if (client.receive(forever) != read_end::complete) {
                    return;
                }
                const std::string bytes = client.take_buffered();
                awaits_silence = awaits_silence || takes_text(bytes);
                if (!target->send(bytes)) {
                    return;
                }
            }
            if (inputs[1].revents != 0) {
                if (awaits_silence) {
                    record_.add("silent   the connection to " + target_.text() +
                                " from now on; it stays open");
                    std::this_thread::sleep_until(forever);
                }
                if (target->receive(forever) != read_end::complete ||
                    !client.send(target->take_buffered())) {
                    return;
                }
            }
        }
    }

    bool takes_text(const std::string& bytes)
    {
        const std::lock_guard lock{mutex_};
        return text_ && text_->take_from(bytes);
    }

    const endpoint target_;
    recorder& record_;
    std::mutex mutex_;
    std::shared_ptr<shared_text> text_;
    listener listener_;
};

/// Relays UDP datagrams to a target.
class datagram_relay {
public:
    datagram_relay(const endpoint& at, const endpoint& target)
    {
        const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto address = to_sockaddr(at);
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
            std::_Exit(2);
        }
        std::thread{[socket, to = to_sockaddr(target)] {
            std::string buffer(65'536, '\0');
            while (true) {
                const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), 0);
                if (size > 0) {
                    ::sendto(socket, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL,
                             reinterpret_cast<const sockaddr*>(&to), sizeof to);
                }
            }
        }}.detach();
    }
};

/// Ports of a machine; the same on all machines of a run, which differ in their address.
struct ports {
    std::uint16_t inner = 0;
    std::uint16_t operators = 0;
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t registration = 0;
    std::uint16_t backend = 0;
    std::uint16_t store = 0;
};

/// Picks ports that are free on all addresses.
inline ports free_ports()
{
    std::vector<int> held;
    std::vector<std::uint16_t> found;
    while (found.size() < 7) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in any = to_sockaddr({"0.0.0.0", 0});
        socklen_t size = sizeof any;
        ::bind(socket, reinterpret_cast<const sockaddr*>(&any), size);
        ::getsockname(socket, reinterpret_cast<sockaddr*>(&any), &size);
        held.push_back(socket);
        found.push_back(ntohs(any.sin_port));
    }
    for (const int socket : held) {
        ::close(socket);
    }
    return {found[0], found[1], found[2], found[3], found[4], found[5], found[6]};
}

/// Settings of a machine.
struct machine_options {
    std::string ip;
    /// Address that the node gives to the others, where a relay listens; empty means its own.
    std::string advertised_ip;
    std::string service;
    std::string data_centre = "howrah";
    double grace_s = 6;
};

/// The process of one node, started with the command of the deploy file.
class node_process {
public:
    node_process(const machine_options& options, const ports& at, std::string program,
                 const std::filesystem::path& directory)
        : options_{options}, at_{at}, program_{std::move(program)},
          settings_{directory / (options.ip + ".json")}, log_{directory / (options.ip + ".log")}
    {
        std::ofstream{settings_} << settings_text();
    }
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;
    ~node_process()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        wait(milliseconds{5'000});
    }

    void start()
    {
        const std::string settings = settings_.string();
        const std::string log = log_.string();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            ::execl(program_.c_str(), program_.c_str(), "node", "--settings", settings.c_str(),
                    nullptr);
            std::_Exit(127);
        }
    }

    void signal(int number) const
    {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    /// Whether the process has ended within the time.
    bool wait(milliseconds limit)
    {
        const auto until = steady::now() + limit;
        while (pid_ > 0) {
            if (::waitpid(pid_, &status_, WNOHANG) == pid_) {
                pid_ = 0;
                break;
            }
            if (steady::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{2});
        }
        return true;
    }

    pid_t pid() const { return pid_; }
    const machine_options& options() const { return options_; }
    endpoint callers() const { return {options_.ip, at_.callers}; }
    endpoint registration() const { return {options_.ip, at_.registration}; }
    endpoint backend() const { return {options_.ip, at_.backend}; }

    bool ready() const
    {
        auto peer = connect_to({options_.ip, at_.readiness});
        message answer;
        return peer && peer->send("GET /health HTTP/1.1\r\nHost: node\r\n\r\n") &&
               peer->read(answer, steady::now() + milliseconds{500}) == read_end::complete &&
               answer.status() == 200;
    }

    /// The number of members that the node knows for a service.
    int members_of(const std::string& service) const
    {
        auto peer = connect_to({options_.ip, at_.operators});
        message answer;
        if (!peer || !peer->send("GET /status HTTP/1.1\r\nHost: node\r\n\r\n") ||
            peer->read(answer, steady::now() + milliseconds{500}) != read_end::complete) {
            return 0;
        }
        const std::size_t routes = answer.body.find("\"routes\"");
        const std::size_t found = answer.body.find("\"" + service + "\":", routes);
        return routes == std::string::npos || found == std::string::npos
                   ? 0
                   : std::atoi(answer.body.c_str() + found + service.size() + 3);
    }

private:
    std::string settings_text() const
    {
        std::ostringstream out;
        out << "{\"address\":\"" << options_.ip << "\",\"data_centre\":\"" << options_.data_centre
            << "\",\"advertised_address\":\""
            << (options_.advertised_ip.empty() ? options_.ip : options_.advertised_ip)
            << "\",\"caller_address\":\"" << callers().text() << "\",\"readiness_address\":\""
            << options_.ip << ":" << at_.readiness << "\",\"registration_address\":\""
            << registration().text() << "\",\"node_port\":" << at_.inner
            << ",\"gossip_port\":" << at_.inner << ",\"admin_port\":" << at_.operators
            << ",\"store_url\":\"http://127.0.0.1:" << at_.store
            << "\",\"caller_interface\":\"routes\",\"origin_service\":\"" << options_.service
            << "\",\"retry_limits\":{\"ratio\":0.2,\"slack\":56,\"window_s\":10},"
               "\"node_carrier\":\"http\",\"http_threads\":1,\"grace_s\":"
            << options_.grace_s
            << ",\"headers\":{\"request_id\":\"Request-Id\",\"timeout_ms\":\"Deadline-Ms\","
               "\"not_run\":\"Not-Executed\",\"upstream_id\":\"Expect-Instance\","
               "\"origin_service\":\"Caller-Service\",\"upstream_load\":\"Backend-Load\","
               "\"upstream_rate_limit\":\"Server-Limit\",\"upstream_leaving\":\"Server-Leaving\","
               "\"priority\":\"\",\"depth\":\"\",\"retry_budget\":\"\",\"idempotency_key\":\"\","
               "\"outcome\":\"\",\"reason\":\"\"}}\n";
        return out.str();
    }

    const machine_options options_;
    const ports at_;
    const std::string program_;
    const std::filesystem::path settings_;
    const std::filesystem::path log_;
    pid_t pid_ = 0;
    int status_ = 0;
};

inline std::uint64_t unix_ms()
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1'000 +
           static_cast<std::uint64_t>(now.tv_nsec) / 1'000'000;
}

/// Works for a while; stops early, and returns false, when the caller closes the connection.
inline bool work_for(milliseconds time, const connection& caller)
{
    const auto until = steady::now() + time;
    while (steady::now() < until) {
        if (caller.peer_closed()) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

/// A backend that runs `slots` requests at once and rejects what it cannot queue. It sends
/// heartbeats to the node of its machine.
class backend {
public:
    /// Runs a request and returns the bytes of the whole response; empty when the caller has gone.
    using work_function =
        std::function<std::string(const message& request, const connection& caller)>;

    backend(std::string id, const node_process& node, int slots, recorder& record,
            work_function work)
        : id_{std::move(id)}, node_{node}, slots_{slots}, record_{record}, work_{std::move(work)},
          listener_{node.backend(), [this](connection& peer) { serve(peer); }}
    {
        std::thread{[this] { send_heartbeats(); }}.detach();
    }

    /// Ids of the requests that it began to work on, with the number of runs.
    std::map<std::string, int> runs() const
    {
        const std::lock_guard lock{mutex_};
        return runs_;
    }
    std::string load_header() const
    {
        return "Backend-Load: " + std::to_string(running_.load()) + ",0," + std::to_string(slots_) +
               ",100\r\n";
    }

    /// Sends one heartbeat with the state ready. Returns whether the node acknowledged it.
    bool send_heartbeat(int sequence) const
    {
        return call_node(
            "PUT",
            "{\"service\":\"" + node_.options().service + "\",\"address\":\"" +
                node_.backend().text() + "\",\"data_centre\":\"" + node_.options().data_centre +
                "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
                ",\"state\":\"ready\",\"cold_ms\":0,\"sequence\":" + std::to_string(sequence) +
                ",\"born\":" + std::to_string(born_ms_) + "}");
    }

private:
    void serve(connection& peer)
    {
        message request;
        while (peer.read(request, steady::now() + std::chrono::seconds{30}) == read_end::complete) {
            const std::string bytes = answer(request, peer);
            if (bytes.empty() || !peer.send(bytes)) {
                return;
            }
        }
    }

    std::string answer(const message& request, const connection& caller)
    {
        if (request.target() == "/healthz") {
            return response("200 OK", "Instance-Id: " + id_ + "\r\n" + load_header(), "");
        }
        const std::string request_id = request.header("request-id");
        const std::string id_line = "Request-Id: " + request_id + "\r\n";
        const std::string expected = request.header("expect-instance");
        if (!expected.empty() && expected != id_) {
            return response("421 Misdirected Request", id_line + "Instance-Id: " + id_ + "\r\n",
                            "");
        }
        if (request_id.empty()) {
            return response("400 Bad Request", "Not-Executed: 1\r\n" + load_header(), "");
        }
        if (running_.fetch_add(1) >= slots_) {
            --running_;
            return response("503 Service Unavailable",
                            id_line + "Not-Executed: 1\r\n" + load_header(), "");
        }
        {
            const std::lock_guard lock{mutex_};
            ++runs_[request_id];
        }
        record_.add("run      " + request_id + " at " + id_);
        std::string bytes = work_(request, caller);
        --running_;
        record_.add((bytes.empty() ? "dropped  " : "done     ") + request_id + " at " + id_);
        return bytes;
    }

    void send_heartbeats()
    {
        while (true) {
            const bool acknowledged = send_heartbeat(++sequence_);
            std::this_thread::sleep_for(milliseconds{acknowledged ? 1'500 : 200});
        }
    }

    bool call_node(const std::string& method, const std::string& body) const
    {
        message answer;
        auto peer = connect_to(node_.registration());
        return peer &&
               peer->send(method + " /upstreams/" + id_ +
                          " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body) &&
               peer->read(answer, steady::now() + milliseconds{1'000}) == read_end::complete &&
               answer.status() == 200;
    }

    const std::string id_;
    const node_process& node_;
    const int slots_;
    recorder& record_;
    work_function work_;
    const std::uint64_t born_ms_ = unix_ms();
    std::atomic<int> sequence_{0};
    std::atomic<int> running_{0};
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_;
    listener listener_;
};

/// A request of a client.
struct client_request {
    std::string id;
    std::string method = "POST";
    std::string host;
    std::string target;
    int deadline_ms = 3'000;
    std::string body;

    std::string bytes() const
    {
        std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                          "\r\nRequest-Id: " + id +
                          "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
        if (!body.empty() || method != "GET") {
            out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return out + "\r\n" + body;
    }
};

/// Temporary folder, store and machines of a case.
class deployment {
public:
    deployment(std::string program, std::string record_file)
        : record{std::move(record_file)}, program_{std::move(program)}, at_{free_ports()}
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            std::_Exit(2);
        }
        directory_ = name;
        store = std::make_unique<platform_store>(endpoint{"127.0.0.1", at_.store});
        std::signal(SIGPIPE, SIG_IGN);
    }
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    ~deployment() = default;

    /// Ends the nodes and this process, whose threads are still running.
    [[noreturn]] void end(int exit_status)
    {
        nodes.clear();
        std::error_code ignored;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::filesystem::remove_all(directory_, ignored);
        }
        else {
            std::fprintf(stderr, "logs in %s\n", directory_.c_str());
        }
        std::_Exit(exit_status);
    }

    /// Adds a machine. With relays, the others reach it through relays of this program.
    node_process& add(const std::string& service, bool with_relays = false)
    {
        const std::string number = std::to_string(nodes.size() + 1);
        machine_options options;
        options.ip = "127.0.41." + number;
        options.service = service;
        if (with_relays) {
            options.advertised_ip = "127.0.42." + number;
            const endpoint outside{options.advertised_ip, at_.inner};
            const endpoint inside{options.ip, at_.inner};
            datagram_relays_.push_back(std::make_unique<datagram_relay>(outside, inside));
            relays.push_back(std::make_unique<relay>(outside, inside, record));
        }
        nodes.push_back(std::make_unique<node_process>(options, at_, program_, directory_));
        return *nodes.back();
    }

    void publish(const std::string& document) { store->put("keyed.op", "config", document); }

    /// Starts all nodes, waits until each is ready and knows the members of each service, and then
    /// for StableWindowS, after which all machines are in touch.
    bool start(const std::map<std::string, int>& members)
    {
        for (const auto& node : nodes) {
            node->start();
        }
        if (!wait_for_members(members)) {
            return false;
        }
        std::this_thread::sleep_for(stable_window);
        record.add("calm     for StableWindowS since all nodes are ready");
        return true;
    }

    bool wait_for_members(const std::map<std::string, int>& members)
    {
        const auto until = steady::now() + std::chrono::seconds{20};
        while (steady::now() < until) {
            if (all_ready(members)) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    recorder record;
    std::unique_ptr<platform_store> store;
    std::vector<std::unique_ptr<node_process>> nodes;
    std::vector<std::unique_ptr<relay>> relays;

private:
    static constexpr milliseconds stable_window{3'100};

    bool all_ready(const std::map<std::string, int>& members) const
    {
        for (const auto& node : nodes) {
            if (!node->ready()) {
                return false;
            }
            for (const auto& [service, count] : members) {
                if (node->members_of(service) < count) {
                    return false;
                }
            }
        }
        return true;
    }

    std::string program_;
    ports at_;
    std::filesystem::path directory_;
    std::vector<std::unique_ptr<datagram_relay>> datagram_relays_;
};

/// Whether the disruption of the case takes place.
inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view{value} != "0";
}

} // namespace review
