#pragma once

#include <LibCore/InvalidInput.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetDialect.h>
#include <LibFleet/OperatorState.h>
#include <LibFleet/PageSource.h>
#include <LibFleet/ServerRegistry.h>

#include <chrono>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace lycheeseam {

/// The state that the records of operators and backend servers describe. Logs
/// each change of it.
template<fleet_dialect Dialect>
class fleet_records
{
public:
  /// Applies new records of a topic.
  void Apply(instant aNow,
             store_topic aTopic,
             std::span<keyed_record const> aNewRecords,
             page_source aSource)
  {
    if (aTopic == store_topic::Servers)
      return ApplyServers(aNow, aNewRecords, aSource);
    for (keyed_record const& record : aNewRecords) {
      if (record.mValue)
        ApplyOperatorRecord(aNow, record, aSource);
    }
  }

  /// Another server answered at the address of aServer; the records before
  /// aEnd are known, or were left out of relays. True when that incarnation
  /// was registered.
  bool OnAddressTaken(instant aNow,
                      server_identity const& aServer,
                      store_position aEnd)
  {
    if (!mServers.OnAddressTaken(aNow, aServer))
      return false;
    mRemovedAt[aServer.mServer] = { .mIncarnation = aServer.mIncarnation,
                                    .mEnd = aEnd };
    LogEvent(
      "server_absent",
      { { "server", aServer.mServer.Text() },
        { "reason", std::string{ "another server answers at its address" } } });
    return true;
  }

  [[nodiscard]] server_registry& Servers() noexcept { return mServers; }
  [[nodiscard]] operator_state const& Operators() const noexcept
  {
    return mOperators;
  }

private:
  /// How much of the topic was known when a server was removed.
  struct removed_at
  {
    incarnation mIncarnation;
    store_position mEnd;
  };

  void ApplyServers(instant aNow,
                    std::span<keyed_record const> aNewRecords,
                    page_source aSource)
  {
    // A page that a peer read also shows that the store answers.
    mServers.OnStoreAnswer(aNow);
    for (keyed_record const& record : aNewRecords) {
      if (record.mValue) {
        ApplyServer(record, aSource);
        continue;
      }
      LogDropped(record,
                 mServers.OnDropped(aNow, backend_server_id{ record.mKey }),
                 aSource);
      mRemovedAt.erase(backend_server_id{ record.mKey });
    }
  }

  void ApplyServer(keyed_record const& aRecord, page_source aSource)
  {
    try {
      registered_server const server =
        Dialect::ReadServer(aRecord.mKey, *aRecord.mValue);
      if (IsOfRemoved(aRecord, server))
        return mServers.OnEarlierEntry(server);
      if (mServers.OnEntry(server, aRecord.mPosition.Era()))
        LogServer(aRecord, server, aSource);
    } catch (invalid_input const& fault) {
      // Other programs may write to the topic; an entry that can't be read
      // names no usable server.
      LogEvent("entry_ignored",
               { { "server", aRecord.mKey },
                 { "fault", std::string{ fault.what() } } });
    }
  }

  // True for an entry that a removed server had written before it was removed.
  // It may arrive later, as relays leave it out while it changes but a count.
  bool IsOfRemoved(keyed_record const& aRecord,
                   registered_server const& aServer)
  {
    auto const found = mRemovedAt.find(aServer.mId);
    if (found == mRemovedAt.end())
      return false;
    if (aServer.mIncarnation == found->second.mIncarnation &&
        aRecord.mPosition < found->second.mEnd)
      return true;
    mRemovedAt.erase(found);
    return false;
  }

  static void LogServer(keyed_record const& aRecord,
                        registered_server const& aServer,
                        page_source aSource)
  {
    bool const isReady = aServer.mStage == server_stage::Ready;
    LogEvent(
      "server",
      { { "server", aRecord.mKey },
        { "state", std::string{ isReady ? "ready" : "leaving" } },
        { "entries", static_cast<std::int64_t>(aServer.mEntries) },
        { "position", static_cast<std::int64_t>(aRecord.mPosition.Number()) },
        { "told_by", NameOf(aSource) } });
  }

  static void LogDropped(keyed_record const& aRecord,
                         duration aInUseFor,
                         page_source aSource)
  {
    LogEvent(
      "server",
      { { "server", aRecord.mKey },
        { "state", std::string{ "dropped" } },
        { "position", static_cast<std::int64_t>(aRecord.mPosition.Number()) },
        { "told_by", NameOf(aSource) },
        { "in_use_ms",
          std::int64_t{
            std::chrono::duration_cast<std::chrono::milliseconds>(aInUseFor)
              .count() } } });
  }

  static std::string NameOf(page_source aSource)
  {
    return aSource == page_source::Peer ? "peer" : "store";
  }

  void ApplyOperatorRecord(instant aNow,
                           keyed_record const& aRecord,
                           page_source aSource)
  {
    operator_record read;
    try {
      read = Dialect::ReadOperatorRecord(aRecord.mKey, *aRecord.mValue);
    } catch (invalid_input const& fault) {
      LogEvent(
        "operator_record_ignored",
        { { "key", aRecord.mKey }, { "fault", std::string{ fault.what() } } });
      return;
    }
    if (auto const* const config =
          std::get_if<std::shared_ptr<dispatch_config const>>(&read))
      return ApplyConfig(aRecord, *config, aSource);
    if (auto const* const target = std::get_if<loaded_model>(&read))
      return ApplyWeights(aNow, *target);
    if (rollout_order* const order = std::get_if<rollout_order>(&read)) {
      order->mNumber = aRecord.mPosition.Number();
      return ApplyRollout(aNow, *order);
    }
    // Records under keys that this version doesn't know are ignored.
  }

  void ApplyConfig(keyed_record const& aRecord,
                   std::shared_ptr<dispatch_config const> const& aConfig,
                   page_source aSource)
  {
    if (mOperators.Apply(aConfig))
      LogEvent(
        "config_in_force",
        { { "version", static_cast<std::int64_t>(aConfig->Version()) },
          { "requires_keys", std::int64_t{ aConfig->RequiresKeys() } },
          { "workspaces",
            static_cast<std::int64_t>(aConfig->Workspaces().size()) },
          { "position", static_cast<std::int64_t>(aRecord.mPosition.Number()) },
          { "told_by", NameOf(aSource) } });
  }

  void ApplyWeights(instant aNow, loaded_model const& aTarget)
  {
    if (mOperators.Apply(aNow, aTarget))
      LogEvent("weights_named",
               { { "model", aTarget.mModel.Text() },
                 { "version", static_cast<std::int64_t>(aTarget.mVersion) } });
  }

  void ApplyRollout(instant aNow, rollout_order const& aOrder)
  {
    if (mOperators.Apply(aNow, aOrder))
      LogEvent(
        "rollout_ordered",
        { { "pool", aOrder.mPool.Text() },
          { "to", aOrder.mTarget.Text() },
          { "duration_ms",
            std::int64_t{ std::chrono::duration_cast<std::chrono::milliseconds>(
                            aOrder.mDuration)
                            .count() } },
          { "order", static_cast<std::int64_t>(aOrder.mNumber) } });
  }

  server_registry mServers;
  /// Servers that were removed because another one answered at their address.
  std::map<backend_server_id, removed_at> mRemovedAt;
  operator_state mOperators;
};

}
