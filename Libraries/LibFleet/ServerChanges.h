#pragma once

#include <LibCore/InvalidInput.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibFleet/FleetDialect.h>
#include <LibFleet/ServerRegistry.h>
#include <LibStore/TopicState.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheeseam {

/// Selects the records of servers that others have to be sent: all except those
/// whose entries differ from the previous ones of the same servers only in how
/// many entries their servers have written. Runs on the control thread.
template<fleet_dialect Dialect>
class server_changes
{
public:
  /// aServers holds what is known of the servers.
  explicit server_changes(server_registry const& aServers)
    : mServers(aServers)
  {
  }

  /// Returns the records to send, in their order; aKnown is the state before
  /// these records are applied.
  [[nodiscard]] std::vector<keyed_record> Select(
    std::span<keyed_record const> aRecords,
    topic_state const& aKnown)
  {
    std::vector<keyed_record> selected;
    std::map<std::string_view, keyed_record const*> earlier;
    for (keyed_record const& record : aRecords) {
      keyed_record const*& before =
        earlier.try_emplace(record.mKey, aKnown.Find(record.mKey))
          .first->second;
      if (IsChange(record, before)) {
        // Receivers order the entries of a removed server by their counts when
        // the store comes back from an older copy, so that the last entry goes
        // on before its deletion.
        if (!record.mValue && before != nullptr && before->mValue)
          selected.push_back(*before);
        selected.push_back(record);
      }
      if (before == nullptr || record.mPosition > before->mPosition)
        before = &record;
    }
    return selected;
  }

private:
  struct read_entry
  {
    store_position mPosition;
    registered_server mServer;
  };

  // A record that isn't newer than the known one was passed on by another
  // instance; it goes on again, as links may have lost it.
  bool IsChange(keyed_record const& aRecord, keyed_record const* aBefore)
  {
    if (!aRecord.mValue)
      mRead.erase(aRecord.mKey);
    if (!aRecord.mValue || aBefore == nullptr || !aBefore->mValue ||
        aRecord.mPosition <= aBefore->mPosition)
      return true;
    std::optional<registered_server> before = Read(*aBefore);
    std::optional<registered_server> after = Read(aRecord);
    if (!before || !after)
      return true;
    // An entry of an older copy of the store isn't in force at a removed
    // server, which the next entry brings back.
    bool const isInForce = mServers.IsInForce(*before);
    // A first count, or one that has fallen, as in an older copy of the store,
    // isn't left out.
    if (before->mEntries > 0 && after->mEntries > before->mEntries)
      before->mEntries = after->mEntries;
    bool const isChange = !isInForce || *before != *after;
    mRead.insert_or_assign(aRecord.mKey,
                           read_entry{ .mPosition = aRecord.mPosition,
                                       .mServer = *std::move(after) });
    return isChange;
  }

  // Nothing for an entry that can't be read.
  std::optional<registered_server> Read(keyed_record const& aRecord) const
  {
    auto const found = mRead.find(aRecord.mKey);
    if (found != mRead.end() && found->second.mPosition == aRecord.mPosition)
      return found->second.mServer;
    try {
      return Dialect::ReadServer(aRecord.mKey, *aRecord.mValue);
    } catch (invalid_input const&) {
      return std::nullopt;
    }
  }

  server_registry const& mServers;
  /// The last entry of each server that was read here, since reading it again
  /// with each heartbeat would double the work.
  std::map<std::string, read_entry> mRead;
};

}
