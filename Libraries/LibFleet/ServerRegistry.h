#pragma once

#include <LibCore/Instant.h>
#include <LibCore/ServerIdentity.h>
#include <LibDispatch/RegisteredServer.h>

#include <map>
#include <optional>
#include <vector>

namespace lycheeseam {

/// The backend servers that are registered in the store.
///
/// Entries lapse while the store is away, also those of servers that live;
/// such a server has a short time to come back before it counts as gone.
class server_register
{
public:
  /// A server wrote its entry; true when it is new, or says that it leaves.
  bool OnEntry(registered_server aServer);

  /// A server's entry was dropped.
  void OnDropped(instant aNow, backend_server_id const& aServer);

  /// Another server answered at its address. True when it was registered; its
  /// next entry brings it back.
  bool OnAbsent(server_identity const& aGone);

  /// The store failed to answer.
  void OnStoreFailure();

  /// The store answered.
  void OnStoreAnswer(instant aNow);

  /// An engine showed its weights; true when they are newer than was known.
  bool OnWeights(backend_server_id const& aServer,
                 incarnation aIncarnation,
                 model_name const& aModel,
                 std::uint64_t aVersion);

  /// Drops servers whose time to come back is over; true when any was.
  bool Expire(instant aNow);

  [[nodiscard]] std::vector<registered_server> Servers() const;

private:
  struct entry
  {
    registered_server mServer;
    /// When a lapsed entry counts as gone.
    std::optional<instant> mGoneAt;
  };

  std::map<backend_server_id, entry> mEntries;
  bool mIsStoreAway = false;
  std::optional<instant> mStoreBackAt;
};

}
