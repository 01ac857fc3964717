#pragma once

#include "fleet.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace chestnutstand::testing {

/// Periodically registers an upstream of the service alpha with a node.
class registrar {
public:
    registrar(fleet& test_fleet, std::uint16_t admin_port, std::uint16_t upstream_port)
        : thread_{[this, &test_fleet, admin_port, upstream_port] {
              while (!stopping_) {
                  test_fleet.control(admin_port, "/register",
                                     {{"service", "alpha"},
                                      {"address", "127.0.0.1:" + std::to_string(upstream_port)},
                                      {"slots", 100}});
                  std::this_thread::sleep_for(milliseconds{500});
              }
          }}
    {
    }
    registrar(const registrar&) = delete;
    registrar& operator=(const registrar&) = delete;
    ~registrar()
    {
        stopping_ = true;
        thread_.join();
    }

private:
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace chestnutstand::testing
