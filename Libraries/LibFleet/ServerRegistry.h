#pragma once

#include <LibCore/Instant.h>
#include <LibCore/ServerIdentity.h>
#include <LibDispatch/ObservedWeights.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibStore/StoreEra.h>

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace lycheeseam {

/// The backend servers that are registered in the store.
///
/// Entries expire during an outage of the store, even those of running servers.
/// Such a server gets a grace period after the outage to register again before
/// it is removed. A page that any instance reads shows that there is no outage,
/// whether or not the store answers this one. Nor does a time show one in which
/// this instance itself didn't run.
///
/// A store that comes back from an older copy of itself shows earlier entries
/// again, of servers that have announced since that they are leaving or have
/// been dropped, and lacks those of servers that have registered since. The
/// entries of an incarnation are therefore ordered by what their server
/// counted. Of two incarnations the later one wrote the later entry, as far as
/// both entries are of one era. In a restored store an entry with a lower
/// number, the server's start by its own clock, is taken for an earlier one
/// until the server writes the next.
class server_registry
{
public:
  /// A server has written its entry, which the store holds in aEra; true when
  /// the server, its incarnation or its stage is new. Entries of a server that
  /// the store holds in one era arrive in the order of the store.
  bool OnEntry(registered_server aServer, store_era aEra);

  /// A server's entry has been dropped from the store. Returns how long the
  /// server stays in use.
  duration OnDropped(instant aNow, backend_server_id const& aServer);

  /// Another server answered at the address of aServer, which stays removed
  /// until it writes its next entry. True when that incarnation was registered.
  bool OnAddressTaken(instant aNow, server_identity const& aServer);

  /// An entry that a removed server had written before its removal has arrived.
  void OnEarlierEntry(registered_server const& aServer);

  /// The store has come back from an older copy of itself.
  void OnStoreRestored(instant aNow);

  /// The store answered this instance or a peer that passed the answer on.
  void OnStoreAnswer(instant aNow);

  /// This instance runs; to be called several times in kMinPause.
  void OnRunning(instant aNow);

  /// Weights of an engine were observed; true when they are newer than the
  /// known ones.
  bool OnObservedWeights(backend_server_id const& aServer,
                         incarnation aIncarnation,
                         model_name const& aModel,
                         std::uint64_t aVersion);

  /// The same for several engines; true when any of the weights are newer.
  bool OnObservedWeights(std::span<observed_weights const> aObserved);

  /// Removes servers whose grace period is over; true when there were any. Also
  /// forgets servers that were removed long ago.
  bool Expire(instant aNow);

  [[nodiscard]] std::vector<registered_server> Servers() const;

  /// True while the incarnation and the stage of an entry are in force.
  [[nodiscard]] bool IsInForce(registered_server const& aServer) const;

private:
  // An instance that hasn't run for so long was paused or got no processor.
  static constexpr std::chrono::milliseconds kMinPause{ 300 };

  struct entry
  {
    registered_server mServer;
    /// The era of the server's newest entry, taken over or not.
    store_era mEra;
    /// When the grace period of a dropped entry ends; empty for other entries.
    std::optional<instant> mGracePeriodEnd;
  };

  /// A server that was removed.
  struct removed_server
  {
    incarnation mIncarnation;
    /// The era of its newest entry.
    store_era mEra;
    /// How many entries it had written.
    std::uint64_t mEntries = 0;
    instant mRemovedAt{};
    /// True when the store has been restored since.
    bool mMayReappear = false;
  };
  using entries = std::map<backend_server_id, entry>;

  // True for an entry that a removed server had written before.
  bool IsOfRemoved(registered_server const& aServer, store_era aEra);
  void Remove(instant aNow, entries::iterator aEntry);

  entries mEntries;
  std::map<backend_server_id, removed_server> mRemoved;
  /// When this instance was last known to run; empty before.
  std::optional<instant> mRunningAt;
  /// When the store last answered, moved on by the time in which this instance
  /// didn't run since; empty before it first did.
  std::optional<instant> mAnsweredAt;
  /// When the last outage of the store ended; empty before the first one.
  std::optional<instant> mOutageEnd;
};

}
