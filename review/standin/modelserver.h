#pragma once

#include "standin/net.h"
#include "standin/store.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace Review {

constexpr const char* modelServiceName = "kumquat-writers";
constexpr const char* modelName = "daka510000";

// A model server: it carries out orders, writes its entry into the store and answers requests while it is the open head
// of a group.
class ModelServer {
public:
    ModelServer(Store&, std::string id);
    ~ModelServer();
    ModelServer(const ModelServer&) = delete;
    ModelServer& operator=(const ModelServer&) = delete;

private:
    bool answer(Connection&, const Request&);
    Response order(const Request&);
    Response carryOut(const nlohmann::json& order);
    Response report();
    bool run(Connection&, const Request&);
    nlohmann::json status(bool forList);
    std::string state() const;
    void writeEntry();
    void beat();

    Store& m_store;
    std::string m_id;
    uint16_t m_port;
    std::mutex m_mutex;
    std::string m_group;
    std::string m_model;
    std::string m_staged;
    uint64_t m_epoch = 0;
    uint64_t m_fence = 0;
    uint64_t m_orders = 0;
    uint64_t m_beats = 0;
    size_t m_rank = 0;
    bool m_isOpen = false;
    Clock::time_point m_readyAt {};
    std::atomic<bool> m_isEnding { false };
    std::thread m_beatThread;
};

} // namespace Review
