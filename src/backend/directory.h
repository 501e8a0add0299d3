#pragma once

#include "backend/enginestatus.h"
#include "backend/listedhost.h"
#include "base/address.h"
#include "base/shards.h"
#include "coordination/state.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kumquatpick {

// Why a replica does not serve, in the order in which reasons are looked for.
enum class NotServing : uint8_t {
    No, // It serves.
    ClaimEnding,
    HostMissing, // Not listed, did not answer its latest probe in time, or is another life than listed or claimed.
    HostLeaving,
    WrongOrder, // A host obeys another claim or none.
    Loading,
};

std::string_view name(NotServing);

struct ReplicaView {
    std::string service;
    std::string replica;
    std::string zone;
    std::string domain;
    Offset claim = 0; // 0 for plain services.
    Address leader; // Takes the requests.
    std::vector<std::string> hosts;
    NotServing reason = NotServing::HostMissing;
    std::string blamedHost; // The host behind the reason.
    EngineStatus leaderStatus;
};

// Puts claims, the list and the probes together: which replicas may get work. A replica serves only
// while every host is listed and not leaving, and answered its latest probe within the probe lifetime, ready,
// under the same claim and in the life that was claimed. Each host of a plain service is a replica of its own, named
// like the host. Thread-safe.
//
// What changes rarely (which hosts make which replica) is an immutable layout that readers share; what changes
// with each probe is kept host by host in shards.
class ReplicaDirectory {
public:
    // A probe result is good for this long.
    explicit ReplicaDirectory(Milliseconds probeLifetime);
    ~ReplicaDirectory();

    void setClaims(const std::map<Offset, Claim>&);
    void setListed(std::vector<ListedHost>);
    // Ignored if a later word about the host is known.
    void probed(const EngineStatus&);
    // A host did not answer, or a stream to it broke: it counts as missing until it answers again.
    void unanswered(std::string_view host);
    // The same, seen at a time: only a probe that started later counts as an answer.
    void unanswered(std::string_view host, MonotonicTime at);

    std::vector<ReplicaView> replicas(MonotonicTime now) const;
    std::vector<ReplicaView> replicas(std::string_view service, MonotonicTime now) const;
    std::optional<ReplicaView> replica(std::string_view service, std::string_view replica, MonotonicTime now) const;
    std::vector<ListedHost> listed() const;
    std::optional<EngineStatus> status(std::string_view host) const;

private:
    struct Layout;
    struct Member;
    struct MemberHost;

    struct HostState {
        std::optional<ListedHost> listed;
        std::optional<EngineStatus> status; // Absent: did not answer.
        MonotonicTime missingSince = MonotonicTime::min();
    };

    std::shared_ptr<const Layout> layout() const;
    void rebuildLayout();
    NotServing hostReason(const HostState&, const MemberHost&, Offset claim, MonotonicTime now) const;
    ReplicaView view(const Member&, MonotonicTime now) const;

    Milliseconds m_probeLifetime;
    mutable Shards<std::string, HostState> m_hosts;

    std::mutex m_sourcesMutex; // Held by those who change claims or the list, never while reading views.
    std::map<Offset, std::shared_ptr<const Member>> m_claimed;
    std::map<std::string, std::shared_ptr<const Member>> m_plain; // By host.

    mutable std::mutex m_layoutMutex; // Held only to copy or swap the pointer.
    std::shared_ptr<const Layout> m_layout;
};

} // namespace Kumquatpick
