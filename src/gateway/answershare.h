#pragma once

#include "fleet/clientbudget.h"
#include "gateway/http.h"

#include <map>
#include <memory>

namespace Kumquatpick {

class AnswerShare;

// Bounds the memory that the answers to a node's own requests take while they arrive, in sum: of backend servers, of
// other nodes and of the store. Where it is short, the exchange that holds most for longest ends. Used from one event
// loop; lives as long as any of its shares.
class AnswerBudget : public std::enable_shared_from_this<AnswerBudget> {
public:
    explicit AnswerBudget(size_t bytes);

    // For an answer that is read from the stream, which has to outlive the share.
    std::unique_ptr<AnswerShare> begin(beast::tcp_stream&);
    size_t bytes() const { return m_budget.bytes(); }

private:
    friend class AnswerShare;

    // Tells exchanges to end until so many bytes will fit; false if they cannot.
    bool makeRoom(size_t bytes);

    ClientBudget m_budget;
    std::map<ClientBudget::Id, beast::tcp_stream*> m_streams;
};

// The part of one answer in the budget; given back with the object.
class AnswerShare {
public:
    AnswerShare(std::shared_ptr<AnswerBudget>, beast::tcp_stream&);
    ~AnswerShare();
    AnswerShare(const AnswerShare&) = delete;
    AnswerShare& operator=(const AnswerShare&) = delete;

    // Before the memory is taken: counts so many bytes instead of what was counted before, once there is room for them.
    // False if this answer has to end instead.
    asio::awaitable<bool> reserve(size_t bytes);
    // Counts less than before.
    void reduce(size_t bytes);
    // It was chosen to end for others; what it waits for is cancelled.
    bool isEnded() const;

private:
    std::shared_ptr<AnswerBudget> m_owner;
    ClientBudget::Id m_id;
};

} // namespace Kumquatpick
