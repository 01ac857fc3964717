#include "deployment.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <initializer_list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

std::string env(const char* name, const std::string& fallback)
{
    const char* value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

sockaddr_in to_address(const std::string& ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Opens a listening socket; port 0 lets the kernel choose. Returns -1 on failure.
int listen_on(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = to_address(ip, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(descriptor, 1'024) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t port_of(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos
               ? ""
               : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string concat(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const auto part : parts) {
        text += part;
    }
    return text;
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) {
        out.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }
    return out;
}

std::string base64(const std::string& bytes)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value =
                value << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            out.push_back(i + k > bytes.size() ? '=' : digits[(value >> (18 - 6 * k)) & 63]);
        }
    }
    return out;
}

std::string parameter(const std::string& target, const std::string& name)
{
    const auto found = target.find(name + "=");
    if (found == std::string::npos) {
        return "";
    }
    const auto start = found + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

std::string response(int status, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Raises the soft limit of descriptors, for crowds and for the nodes that inherit it.
void raise_descriptor_limit()
{
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8'192);
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

/// Whether the port can be bound on all addresses, for TCP and UDP.
bool is_free(const std::vector<std::string>& ips, std::uint16_t port)
{
    for (const auto& ip : ips) {
        const int tcp = listen_on(ip, port);
        if (tcp == -1) {
            return false;
        }
        ::close(tcp);
        const int udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = to_address(ip, port);
        const bool bound =
            ::bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(udp);
        if (!bound) {
            return false;
        }
    }
    return true;
}

port_plan choose_ports(const std::vector<std::string>& ips)
{
    port_plan plan;
    std::uint16_t next = 7'600;
    for (std::uint16_t* port :
         {&plan.outbound, &plan.ready, &plan.control, &plan.node, &plan.admin}) {
        while (next < 20'000 && !is_free(ips, next)) {
            ++next;
        }
        *port = next++;
    }
    return plan;
}

} // namespace

bool trouble()
{
    return env("TROUBLE", "1") != "0";
}

void finish(int status)
{
    std::fflush(nullptr);
    std::_Exit(status);
}

record_file::record_file() : file_{env("RECORD", "record.txt")} {}

void record_file::line(const std::string& text)
{
    const std::lock_guard lock{mutex_};
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", ms_since(start_) / 1000.0);
    file_ << time << text << std::endl;
}

record_file& record()
{
    static auto* file = new record_file;
    return *file;
}

void give_up(const std::string& reason)
{
    record().line("the case could not run: " + reason);
    std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
    finish(status_not_run);
}

void sleep_ms(double ms)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{ms});
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

double ms_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>{clock_type::now() - start}.count();
}

connection& connection::operator=(connection&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    return *this;
}

connection::~connection()
{
    if (descriptor_ != -1) {
        ::close(descriptor_);
    }
}

connection connection::open(const std::string& ip, std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = to_address(ip, port);
    const timeval second{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof second);
    if (descriptor == -1 ||
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return connection{};
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection{descriptor};
}

bool connection::send(std::string_view bytes, double timeout_ms) const
{
    auto last = clock_type::now();
    while (!bytes.empty()) {
        const ssize_t sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            last = clock_type::now();
            continue;
        }
        if ((errno != EAGAIN && errno != EWOULDBLOCK) || ms_since(last) > timeout_ms) {
            return false;
        }
        pollfd waiting{descriptor_, POLLOUT, 0};
        ::poll(&waiting, 1, 100);
    }
    return true;
}

std::optional<std::string> connection::receive(double timeout_ms) const
{
    pollfd waiting{descriptor_, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(std::max(0.0, timeout_ms))) != 1) {
        return std::nullopt;
    }
    std::string bytes(std::size_t{65'536}, '\0');
    const ssize_t got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return bytes;
}

std::string message::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

read_end message_reader::read(message& out, double timeout_ms)
{
    const auto start = clock_type::now();
    std::size_t needed = std::string::npos;
    std::size_t head_end = 0;
    while (true) {
        if (needed == std::string::npos &&
            (head_end = buffer_.find("\r\n\r\n")) != std::string::npos) {
            out = {};
            std::istringstream head{buffer_.substr(0, head_end)};
            std::string line;
            while (std::getline(head, line)) {
                if (!line.empty() && line.back() == '\r') {
                    line.pop_back();
                }
                const auto colon = line.find(':');
                if (out.first_line.empty()) {
                    out.first_line = line;
                }
                else if (colon != std::string::npos) {
                    out.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
                }
            }
            const std::string length = out.header("content-length");
            needed = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
        }
        if (needed != std::string::npos && buffer_.size() >= needed) {
            out.body = buffer_.substr(head_end + 4, needed - head_end - 4);
            buffer_.erase(0, needed);
            return read_end::complete;
        }
        const auto more = from_.receive(timeout_ms - ms_since(start));
        if (!more) {
            return read_end::timed_out;
        }
        if (more->empty()) {
            return read_end::closed;
        }
        buffer_ += *more;
    }
}

server::server(const std::string& ip, handler handle)
{
    const int listener = listen_on(ip, 0);
    if (listener == -1) {
        give_up("no free port on " + ip);
    }
    port_ = port_of(listener);
    sockets_->listener = listener;
    std::thread{[listener, open = sockets_, handle = std::move(handle)] {
        while (true) {
            const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock{open->mutex};
            if (open->listener == -1) {
                ::close(accepted);
                ::close(listener);
                return;
            }
            if (accepted == -1) {
                continue;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            open->accepted.insert(accepted);
            std::thread{[accepted, open, handle] {
                const connection client{accepted};
                handle(client);
                const std::lock_guard ending{open->mutex};
                open->accepted.erase(accepted);
            }}.detach();
        }
    }}.detach();
}

void server::close()
{
    const std::lock_guard lock{sockets_->mutex};
    ::shutdown(std::exchange(sockets_->listener, -1), SHUT_RDWR);
    for (const int descriptor : sockets_->accepted) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

store::store(const std::string& ip)
    : ip_{ip}, server_{ip, [this](const connection& client) { serve(client); }}
{
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    topics_[topic].push_back({key, value});
    changed_.notify_all();
}

void store::serve(const connection& client)
{
    message_reader reader{client};
    message request;
    while (reader.read(request, 120'000) == read_end::complete && client.send(answer(request))) {
    }
}

std::string store::answer(const message& request)
{
    const std::string era = "Store-Era: 1\r\n";
    const std::string json = era + "Content-Type: application/json\r\n";
    const std::string target = request.first_line.substr(request.first_line.find(' ') + 1);
    const std::string topic = parameter(target, "Topic");
    std::unique_lock lock{mutex_};
    if (target.rfind("/-/log-append", 0) == 0) {
        std::string_view left = request.body;
        const std::size_t first = topics_[topic].size();
        while (left.size() > 5) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i) {
                length =
                    length << 8 | static_cast<unsigned char>(left[static_cast<std::size_t>(i)]);
            }
            const auto key_length = static_cast<unsigned char>(left[4]);
            topics_[topic].push_back(
                {std::string{left.substr(5, key_length)},
                 std::string{left.substr(5 + key_length, length - 1 - key_length)}});
            left.remove_prefix(std::min(left.size(), 4 + length));
        }
        changed_.notify_all();
        return response(200, json,
                        "{\"Offset\":" + std::to_string(first) +
                            ",\"EndOffset\":" + std::to_string(topics_[topic].size()) + "}");
    }
    auto& records = topics_[topic];
    if (target.rfind("/-/log-newest", 0) == 0) {
        std::map<std::string, std::size_t> newest;
        for (std::size_t i = 0; i < records.size(); ++i) {
            newest[records[i].key] = i;
        }
        std::string items;
        for (const auto& [key, offset] : newest) {
            if (!records[offset].value.empty()) {
                items += (items.empty() ? "" : ",") + std::string{"{\"Key\":\""} + key +
                         "\",\"Value\":\"" + base64(records[offset].value) +
                         "\",\"Offset\":" + std::to_string(offset) + "}";
            }
        }
        return response(200, json,
                        "{\"items\":[" + items + "],\"HasMore\":false,\"EndOffset\":" +
                            std::to_string(records.size()) + "}");
    }
    const std::string from_text = parameter(target, "From");
    const std::string wait_text = parameter(target, "WaitMs");
    const std::size_t from = from_text.empty() ? 0 : std::stoul(from_text);
    const long wait = wait_text.empty() ? 0 : std::stol(wait_text);
    changed_.wait_for(lock, milliseconds{wait}, [&] { return records.size() > from; });
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (std::size_t i = from; i < records.size(); ++i) {
        const auto& [key, value] = records[i];
        body += concat(
            {big_endian(1 + key.size() + value.size(), 4), big_endian(key.size(), 1), key, value});
    }
    return response(200, era, body);
}

machine::machine(machine_options options, const port_plan& ports, const std::string& store_address,
                 const std::string& folder)
    : options_{std::move(options)}, ports_{ports}, settings_{folder + "/" + options_.ip + ".json"},
      log_{folder + "/" + options_.ip + ".log"}
{
    const auto at = [&](std::uint16_t port) {
        return "\"" + options_.ip + ":" + std::to_string(port) + "\"";
    };
    // What the platform makes of deploy/node.json for a machine of whitcombe-dues, as
    // `fleetbench wire` shows it.
    std::ofstream{settings_}
        << "{\n\"address\": \"" << options_.ip << "\",\n\"data_centre\": \"" << options_.zone
        << "\",\n\"caller_address\": " << at(ports.outbound)
        << ",\n\"readiness_address\": " << at(ports.ready)
        << ",\n\"registration_address\": " << at(ports.control)
        << ",\n\"node_port\": " << ports.node << ",\n\"gossip_port\": " << ports.node
        << ",\n\"admin_port\": " << ports.admin << ",\n\"store_url\": \"http://" << store_address
        << "\",\n\"caller_interface\": \"routes\",\n\"origin_service\": \"" << options_.service
        << "\",\n\"retry_limits\": {\"ratio\": 0.2, \"slack\": 56, \"window_s\": 10},\n"
        << "\"node_carrier\": \"http\",\n\"http_threads\": 1,\n\"grace_s\": 6,\n"
        << "\"memory_limit_mb\": " << options_.memory_mb
        << ",\n\"descriptor_limit\": " << options_.descriptors << ",\n\"link_mbps\": 1000.0,\n"
        << R"("headers": {"request_id": "Request-Id", "timeout_ms": "Deadline-Ms",
"not_run": "Not-Executed", "upstream_id": "Expect-Instance", "origin_service": "Caller-Service",
"upstream_load": "Backend-Load", "upstream_rate_limit": "Server-Limit",
"upstream_leaving": "Server-Leaving", "tenant": "Tenant", "upstream_cold": "Cold-Ms",
"priority": "", "depth": "", "retry_budget": "", "idempotency_key": "", "outcome": "",
"reason": ""}
}
)";
}

machine::~machine()
{
    kill();
}

void machine::start()
{
    const std::string program = env("PROGRAM", "target/tools/chestnutstand/chestnutstand");
    pid_ = ::fork();
    if (pid_ == 0) {
        // The node ends with this program, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("CHESTNUTSTAND_BOOT", settings_.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "node", "--settings", settings_.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
}

void machine::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void machine::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

bool machine::has_ended()
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return false;
    }
    pid_ = -1;
    record().line("the process of " + options_.ip + " has ended: " +
                  (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                       : "status " + std::to_string(WEXITSTATUS(status))));
    return true;
}

double machine::memory_mb() const
{
    std::ifstream status{"/proc/" + std::to_string(pid_) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::strtod(line.c_str() + 6, nullptr) / 1024.0;
        }
    }
    return 0;
}

bool machine::ready() const
{
    const connection to = connection::open(options_.ip, ports_.ready);
    message got;
    return to && to.send("GET /health HTTP/1.1\r\nHost: " + options_.ip + "\r\n\r\n") &&
           message_reader{to}.read(got, 1'000) == read_end::complete &&
           got.first_line.rfind("HTTP/1.1 200", 0) == 0;
}

backend::backend(const machine& beside, std::string id, backend_options options)
    : beside_{beside}, id_{std::move(id)}, options_{options}, work_ms_{options.work_ms},
      born_ms_{unix_ms()}, server_{beside.ip(),
                                   [this](const connection& client) { serve(client); }},
      beats_{[this] { beat(); }}
{
}

backend::~backend()
{
    stopping_ = true;
    beats_.join();
}

std::vector<backend::run> backend::runs()
{
    const std::lock_guard lock{mutex_};
    return runs_;
}

void backend::serve(const connection& client)
{
    message_reader reader{client};
    message request;
    while (reader.read(request, 60'000) == read_end::complete) {
        const std::string load = "Backend-Load: " + std::to_string(running_) + ",0," +
                                 std::to_string(options_.slots) + ",100\r\n";
        if (request.first_line.rfind("GET /healthz ", 0) == 0) {
            if (!client.send(
                    response(leaving_ ? 503 : 200, "Instance-Id: " + id_ + "\r\n" + load, ""))) {
                return;
            }
            continue;
        }
        const std::string id = request.header("request-id");
        const std::string echo = "Request-Id: " + id + "\r\n";
        if (id.empty() || (!request.header("expect-instance").empty() &&
                           request.header("expect-instance") != id_)) {
            client.send(response(id.empty() ? 400 : 421,
                                 concat({"Not-Executed: 1\r\nInstance-Id: ", id_, "\r\n", echo}),
                                 ""));
            continue;
        }
        if (running_ >= options_.slots) {
            client.send(response(503, concat({"Not-Executed: 1\r\n", echo, load}), ""));
            continue;
        }
        ++running_;
        {
            const std::lock_guard lock{mutex_};
            runs_.push_back({id, clock_type::now()});
        }
        record().line(concat({"run at ", id_, ": ", id.substr(0, 40)}));
        sleep_ms(work_ms_);
        --running_;
        const std::string body = "done " + id;
        if (!client.send(
                response(200, concat({echo, load, "Server-Seal: ", id_, ".", id, "\r\n"}), body))) {
            return;
        }
    }
}

std::string backend::next_heartbeat()
{
    return "{\"service\":\"" + beside_.options().service + "\",\"address\":\"" + beside_.ip() +
           ":" + std::to_string(server_.port()) + "\",\"data_centre\":\"" + beside_.options().zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(options_.slots) + ",\"state\":\"" +
           (leaving_ ? "draining" : "ready") +
           "\",\"cold_ms\":0,\"sequence\":" + std::to_string(++sequence_) +
           ",\"born\":" + std::to_string(born_ms_) + "}";
}

bool backend::send_heartbeat(const std::string& body) const
{
    const connection to = connection::open(beside_.ip(), beside_.ports().control);
    message got;
    return to &&
           to.send("PUT /upstreams/" + id_ + " HTTP/1.1\r\nHost: " + beside_.ip() +
                   "\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body) &&
           message_reader{to}.read(got, 1'000) == read_end::complete &&
           got.first_line.rfind("HTTP/1.1 2", 0) == 0;
}

clock_type::time_point backend::drain()
{
    leaving_ = true;
    if (!send_heartbeat(next_heartbeat())) {
        give_up("the draining heartbeat of " + id_ + " was not acknowledged");
    }
    record().line(id_ + " reports draining; acknowledged");
    return clock_type::now();
}

clock_type::time_point backend::leave()
{
    leaving_ = true;
    beating_ = false;
    const std::string body = "{\"born\":" + std::to_string(born_ms_) + "}";
    const connection to = connection::open(beside_.ip(), beside_.ports().control);
    message got;
    if (!to ||
        !to.send("DELETE /upstreams/" + id_ + " HTTP/1.1\r\nHost: " + beside_.ip() +
                 "\r\nContent-Type: application/json\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body) ||
        message_reader{to}.read(got, 1'000) != read_end::complete ||
        got.first_line.rfind("HTTP/1.1 2", 0) != 0) {
        give_up("the departure of " + id_ + " was not acknowledged");
    }
    record().line(id_ + " says DELETE; acknowledged");
    return clock_type::now();
}

void backend::beat()
{
    while (!stopping_) {
        if (beating_) {
            send_heartbeat(next_heartbeat());
        }
        for (int i = 0; i < 15 && !stopping_; ++i) {
            sleep_ms(100);
        }
    }
}

deployment::deployment(const std::vector<std::string>& services, int memory_mb)
{
    std::signal(SIGPIPE, SIG_IGN);
    raise_descriptor_limit();
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        give_up("no temporary folder");
    }
    folder_ = folder;
    // Addresses of its own for each run.
    const auto run = static_cast<unsigned>(::getpid());
    const std::string net =
        "127." + std::to_string(64 + run / 250 % 128) + "." + std::to_string(1 + run % 250) + ".";
    std::vector<std::string> ips;
    for (std::size_t i = 0; i < services.size(); ++i) {
        ips.push_back(net + std::to_string(11 + i));
    }
    const port_plan ports = choose_ports(ips);
    store_ = std::make_unique<store>(net + "1");
    const std::vector<std::string> zones{"brazos-a", "brazos-b", "brazos-c"};
    for (std::size_t i = 0; i < services.size(); ++i) {
        machines_.push_back(std::make_unique<machine>(
            machine_options{ips[i], zones[i % zones.size()], services[i], memory_mb}, ports,
            store_->address(), folder_));
    }
}

void deployment::stop()
{
    for (const auto& each : machines_) {
        each->kill();
    }
    if (env("KEEP", "").empty()) {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
}

void deployment::add_backends(const backend_options& options)
{
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        machines_[i]->start();
        backends_.push_back(
            std::make_unique<backend>(*machines_[i], "i-" + std::to_string(i + 1), options));
    }
}

void deployment::wait_until_served(const std::string& request_line, const std::string& host)
{
    const auto start = clock_type::now();
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        for (int n = 0;; ++n) {
            const std::string id = "first-" + std::to_string(i) + "-" + std::to_string(n);
            const answer got =
                ask(*machines_[i], request_head(request_line, host, id, 1'000) + "\r\n", 2'000);
            if (got.status == 200 && machines_[i]->ready()) {
                break;
            }
            if (ms_since(start) > 20'000) {
                for (const auto& each : machines_) {
                    each->kill();
                }
                give_up("the deployment does not serve: " + describe(got));
            }
            sleep_ms(100);
        }
    }
}

std::string config_text(int version, const std::vector<route>& routes,
                        const std::vector<std::string>& services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const route& each = routes[i];
        text += std::string{i == 0 ? "" : ","} + "{\"name\":\"r-" + std::to_string(i) +
                "\",\"host\":\"" + each.host + "\",\"path_prefix\":\"" + each.prefix +
                "\",\"kind\":\"" + each.kind +
                "\",\"timeout_ms\":" + std::to_string(each.timeout_ms) +
                ",\"latency_target_ms\":" + std::to_string(each.target_ms) +
                ",\"rank\":" + std::to_string(each.rank) + ",\"service\":\"" + each.service +
                "\",\"attempts\":" + std::to_string(each.attempts) + "}";
    }
    text += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text += std::string{i == 0 ? "" : ","} + "{\"name\":\"" + services[i] +
                "\",\"health_path\":\"/healthz\",\"max_connections\":220,"
                "\"Protocol\":\"h1\",\"Tls\":false}";
    }
    return text + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
                  "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::string request_head(const std::string& request_line, const std::string& host,
                         const std::string& id, int deadline_ms)
{
    return request_line + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
}

answer ask(const machine& at, const std::string& request, double wait_ms)
{
    const auto start = clock_type::now();
    answer got;
    const connection to = connection::open(at.ip(), at.ports().outbound);
    if (to && to.send(request)) {
        got.end = message_reader{to}.read(got.content, wait_ms);
    }
    if (got.end == read_end::complete && got.content.first_line.size() > 12) {
        got.status = std::atoi(got.content.first_line.c_str() + 9);
    }
    got.elapsed_ms = ms_since(start);
    return got;
}

std::string describe(const answer& got)
{
    const std::string end = got.end == read_end::complete ? std::to_string(got.status)
                            : got.end == read_end::closed ? "closed"
                                                          : "no answer";
    return end + " after " + std::to_string(static_cast<int>(got.elapsed_ms)) + " ms";
}

} // namespace review
