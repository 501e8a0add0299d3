#pragma once

#include "fleet/configcatchup.h"
#include "gateway/context.h"
#include "gateway/peerdigest.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Kumquatpick {

// The other nodes, as their digests tell. Digests are exchanged both ways in one call, some times a second.
class Peers {
public:
    using FillDigest = std::function<void(PeerDigest&)>;
    using TakeDigest = std::function<void(const PeerDigest&)>;
    using TakeConfig = std::function<void(std::string_view text, std::string_view source)>;

    Peers(GatewayContext&, FillDigest, TakeDigest, TakeConfig);

    asio::awaitable<void> run();
    // Tells every peer now, for what must not wait for the next round.
    void tellAll();
    // A digest or a call to be relayed that came in, and the answer to it.
    asio::awaitable<HttpResponse> answer(const HttpRequest&);
    // Has a peer make a call to a backend server. Fails with Malformed if the peer itself gave no answer.
    asio::awaitable<Settled<HttpResponse>> relay(std::string peer, Address host, HttpRequest);
    std::vector<std::string> aliveAddresses() const;

    // Addresses where other nodes that are alive and take requests do so.
    std::vector<std::string> callerAddresses(std::string_view zone) const;
    size_t aliveCount() const;
    // Whether this life of a node, as lifeName() gives it, told something lately.
    bool hears(std::string_view life) const;
    void addKnown(const Address&);
    // Visits the digests of peers that are alive.
    template <typename Visit> void forEachAlive(Visit&& visit) const
    {
        for (const auto& [address, peer] : m_peers) {
            if (isAlive(peer))
                visit(peer.digest);
        }
    }

private:
    struct Peer {
        PeerDigest digest;
        MonotonicTime heardAt {};
        MonotonicTime triedAt {};
        int failures = 0;
        bool isBusy = false; // A call to it is under way.
    };

    bool isAlive(const Peer&) const;
    uint64_t configVersion() const;
    PeerDigest ownDigest();
    asio::awaitable<void> askForConfig(std::string address);
    void take(PeerDigest);
    asio::awaitable<void> call(std::string address);
    HttpResponse answerDigest(const HttpRequest&);
    HttpResponse answerConfig() const;
    asio::awaitable<HttpResponse> answerRelayed(const HttpRequest&);
    void countBytes(const char* kind, std::string_view zone, size_t bytes);

    GatewayContext& m_context;
    FillDigest m_fill;
    TakeDigest m_take;
    TakeConfig m_takeConfig;
    ConfigCatchUp m_catchUp;
    std::map<std::string, Peer, std::less<>> m_peers; // By their address for digests.
};

} // namespace Kumquatpick
