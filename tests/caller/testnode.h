#pragma once

#include "backend/call.h"
#include "backend/directory.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "caller/fakebackend.h"
#include "caller/server.h"
#include "policy/admission.h"
#include "policy/retrybudget.h"
#include "policy/router.h"
#include "suspicion/suspicion.h"

#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>

namespace Kumquatpick {

// Replaces the journals of the owners and witnesses of all slots. Tests can set its answers.
class FakeJournal {
public:
    PermitOutcome permit(const RequestKey& key, ArrivalId arrival, const NodeInfo& entry)
    {
        std::lock_guard lock(m_mutex);
        JournalEntry& known = m_entries[key.key];
        known.key = key.key;
        if (permitAnswer && *permitAnswer != PermitAnswer::Granted)
            return { *permitAnswer, known };
        if (known.voidedUpTo >= key.attempt)
            return { PermitAnswer::Voided, known };
        if (known.grantedAttempt != 0)
            return { PermitAnswer::HeldByOther, known };
        known.grantedAttempt = key.attempt;
        known.grantedTo = arrival;
        known.holderNode = entry;
        return { loseGrants ? PermitAnswer::Undecided : PermitAnswer::Granted, known };
    }

    PermitOutcome makeVoid(const RequestKey& key, ArrivalId arrival)
    {
        std::lock_guard lock(m_mutex);
        JournalEntry& known = m_entries[key.key];
        if (voidAnswer)
            return { *voidAnswer, known };
        if (known.grantedAttempt != 0 && known.grantedTo != arrival)
            return { PermitAnswer::HeldByOther, known };
        known.grantedAttempt = 0;
        known.voidedUpTo = std::max(known.voidedUpTo, key.attempt);
        ++m_voids;
        return { PermitAnswer::Voided, known };
    }

    uint32_t voidedUpTo(const std::string& key)
    {
        std::lock_guard lock(m_mutex);
        return m_entries[key].voidedUpTo;
    }

    std::optional<PermitAnswer> permitAnswer;
    std::optional<PermitAnswer> voidAnswer;
    bool loseGrants = false; // Grants are recorded, but reported as Undecided.

private:
    std::mutex m_mutex;
    std::map<std::string, JournalEntry> m_entries;
    uint32_t m_voids = 0;
};

// The caller server of one node on a real socket, with fake backends and a journal that nodes can share.
class TestNode {
public:
    explicit TestNode(uint64_t incarnation = 1, std::shared_ptr<FakeJournal> journal = std::make_shared<FakeJournal>())
        : journal(std::move(journal))
        , suspicion(incarnation)
    {
        self.id = { "node" + std::to_string(incarnation), incarnation };
        self.zone = "howrah";
        text.services.resize(2);
        text.services[0].name = "writers";
        text.services[1].name = "desk";
        text.services[1].kind = ServiceKind::Plain;
        text.teams = { { "board", 1, 0 }, { "families", 1, 0 } };
        permit = [this](const RequestKey& key, ArrivalId arrival, MonotonicTime) {
            return this->journal->permit(key, arrival, self);
        };
        makeVoid = [this](const RequestKey& key, ArrivalId arrival, MonotonicTime) {
            return this->journal->makeVoid(key, arrival);
        };
        settings.threads = 32;
        settings.voidTimeout = Milliseconds(2'000);
    }

    // Registers one replica of the model service and one of the plain service for each backend, with one host each.
    void start(const std::vector<FakeBackend*>& backends)
    {
        std::vector<uint16_t> ports;
        ports.reserve(backends.size());
        for (const FakeBackend* backend : backends)
            ports.push_back(backend->port());
        startWith(ports);
    }

    // The same for backends at local ports.
    void startWith(const std::vector<uint16_t>& ports)
    {
        std::map<Offset, Claim> claims;
        std::vector<ListedHost> listed;
        std::vector<ReplicaSample> model;
        std::vector<ReplicaSample> plain;
        for (size_t i = 0; i < ports.size(); ++i) {
            Address address { "127.0.0.1", ports[i] };
            std::string host = "m" + std::to_string(i);
            Claim claim;
            claim.offset = i + 1;
            claim.proposal.service = "writers";
            claim.proposal.replica = "w" + std::to_string(i);
            claim.proposal.hosts = { host };
            claim.hostsHeld = { host };
            claims[claim.offset] = claim;
            listed.push_back({ host, address, "howrah", "d", "" });
            listed.push_back({ "p" + std::to_string(i), address, "howrah", "d", "desk" });
            model.push_back({ claim.proposal.replica, "howrah", 400 });
            plain.push_back({ "p" + std::to_string(i), "howrah", 400 });
        }
        directory.setClaims(claims);
        directory.setListed(listed);
        reportHostsReady(ports.size());
        admission.configure(text);
        router.setServing("writers", model);
        router.setServing("desk", plain);
        for (const char* service : { "writers", "desk" })
            admission.setCapacity(service, 400, monotonicNow());
        server = std::make_unique<CallerServer>(settings, makeDependencies());
        ASSERT_EQ(settle([&] { return server->start(); }).index(), 0U);
    }

    // Reports the first hosts as ready, as probes would.
    void reportHostsReady(size_t count)
    {
        for (size_t i = 0; i < count; ++i) {
            EngineStatus status;
            status.state = EngineState::Ready;
            status.readAt = monotonicNow();
            status.host = "p" + std::to_string(i);
            directory.probed(status);
            status.host = "m" + std::to_string(i);
            status.claim = i + 1;
            status.service = "writers";
            status.replica = "w" + std::to_string(i);
            directory.probed(status);
        }
    }

    std::unique_ptr<httplib::Client> client() const
    {
        auto made = std::make_unique<httplib::Client>("127.0.0.1", server->address().port);
        made->set_read_timeout(std::chrono::seconds(60));
        return made;
    }

    // Headers of a chat request, which is repeatable unless a key is given.
    static httplib::Headers headers(const std::string& key = "", int attempt = 1)
    {
        httplib::Headers result { { "Kumquatpick-Team", "board" } };
        if (key.empty()) {
            result.emplace("Kumquatpick-Repeatable", "true");
            return result;
        }
        result.emplace("Idempotency-Key", key);
        result.emplace("Kumquatpick-Attempt", std::to_string(attempt));
        result.emplace("Kumquatpick-Issued", std::to_string(wallNow().time_since_epoch().count()));
        return result;
    }

    static constexpr const char* chatBody
        = R"({"model":"writers","stream":true,"messages":[{"role":"user","content":"heat 3"}]})";

    httplib::Result chat(const httplib::Headers& headers, const std::string& body = chatBody) const
    {
        return client()->Post("/v1/chat/completions", headers, body, "application/json");
    }

    CallerSettings settings;
    NodeInfo self;
    OperatorConfig text;
    bool isReady = true;
    std::vector<EntryNode> nodes;
    std::shared_ptr<FakeJournal> journal;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime)> permit;
    std::function<PermitOutcome(const RequestKey&, ArrivalId, MonotonicTime)> makeVoid;
    std::map<uint64_t, CallerServer*> peers; // Nodes to fetch answers from, by incarnation.
    Admission admission;
    Router router { 7 };
    RetryBudget retryBudget;
    SuspicionTable suspicion;
    ReplicaDirectory directory { std::chrono::hours(1) };
    Metrics metrics;
    TraceExporter traces { "", "test" };
    BackendCaller backends { 512 };
    std::unique_ptr<CallerServer> server;

private:
    CallerDependencies makeDependencies()
    {
        CallerDependencies dependencies { self, admission, router, retryBudget, suspicion, directory, metrics, traces,
            {}, {}, {}, {}, {}, {}, {}, {}, {}, {}, {} };
        dependencies.startCall = [this](BackendRequest request) { return backends.start(std::move(request)); };
        dependencies.permit = permit;
        dependencies.makeVoid = makeVoid;
        dependencies.mintKey = [](WallTime) { return std::string("minted"); };
        dependencies.fetchAnswer = [this](const NodeInfo& node, const std::string& lookup) -> Result<StoredAnswer> {
            auto peer = peers.find(node.id.incarnation);
            if (peer == peers.end())
                return fail({ ErrorCode::Unreachable, Step::Answer, node.id.name, {} });
            return peer->second->storedAnswer(lookup);
        };
        dependencies.text = [this] { return std::make_shared<const OperatorConfig>(text); };
        dependencies.isReady = [this] { return isReady; };
        dependencies.entryNodes = [this] { return nodes; };
        dependencies.acceptedText = [] { return AcceptedText { 4, "text" }; };
        dependencies.publish = [](const PublishRequest& request) {
            if (request.basedOn == 4)
                return PublishOutcome { PublishOutcome::Kind::Accepted, 5, {} };
            return PublishOutcome { PublishOutcome::Kind::Outdated, 4, {} };
        };
        dependencies.status = [] { return nlohmann::json { { "node", "node1" } }; };
        return dependencies;
    }
};

inline nlohmann::json errorOf(const std::string& body) { return nlohmann::json::parse(body).at("error"); }

// The outcome of a response, as "answered" or "outcome/type".
inline std::string outcomeAndType(const httplib::Result& result)
{
    if (!result)
        return "no response: " + httplib::to_string(result.error());
    std::string outcome = result->get_header_value("Kumquatpick-Outcome");
    if (outcome == "answered")
        return outcome;
    auto error = errorOf(result->body);
    EXPECT_EQ(error.at("outcome"), outcome);
    return outcome + "/" + error.at("type").get<std::string>();
}

} // namespace Kumquatpick
