#pragma once

#include <LibCore/InvalidInput.h>
#include <LibEvents/EventLog.h>
#include <LibFleet/FleetDialect.h>
#include <LibFleet/OperatorState.h>
#include <LibFleet/PageSource.h>
#include <LibFleet/ServerRegistry.h>

#include <span>
#include <string>
#include <string_view>

namespace lycheeseam {

/// What operators and backend servers wrote, as their records say it. Each
/// change of what is believed is logged.
template<fleet_dialect Dialect>
class fleet_records
{
public:
  /// Takes records of a topic that are news.
  void Take(instant aNow,
            store_topic aTopic,
            std::span<keyed_record const> aNews,
            page_source aSource)
  {
    if (aTopic == store_topic::Servers)
      return TakeServers(aNow, aNews, aSource);
    for (keyed_record const& record : aNews) {
      if (record.mValue)
        TakeOperatorRecord(aNow, record);
    }
  }

  /// Another server answered at a server's address.
  void OnAbsent(server_identity const& aGone)
  {
    if (mServers.OnAbsent(aGone))
      LogEvent("server_absent",
               { { "server", aGone.mServer.Text() },
                 { "reason", std::string{ "another has its address" } } });
  }

  [[nodiscard]] server_register& Servers() noexcept { return mServers; }
  [[nodiscard]] operator_state const& Operators() const noexcept
  {
    return mOperators;
  }

private:
  void TakeServers(instant aNow,
                   std::span<keyed_record const> aNews,
                   page_source aSource)
  {
    // Also by a peer's word: what the store says counts, whoever reads it.
    mServers.OnStoreAnswer(aNow);
    for (keyed_record const& record : aNews) {
      if (record.mValue) {
        TakeServer(record, aSource);
        continue;
      }
      mServers.OnDropped(aNow, backend_server_id{ record.mKey });
      LogServer(record, "dropped", aSource);
    }
  }

  void TakeServer(keyed_record const& aRecord, page_source aSource)
  {
    try {
      registered_server const server =
        Dialect::ReadServer(aRecord.mKey, *aRecord.mValue);
      if (mServers.OnEntry(server))
        LogServer(aRecord,
                  server.mStage == server_stage::Ready ? "ready" : "leaving",
                  aSource);
    } catch (invalid_input const& fault) {
      // Another writer's entry names no server to use.
      LogEvent("entry_ignored",
               { { "server", aRecord.mKey },
                 { "fault", std::string{ fault.what() } } });
    }
  }

  static void LogServer(keyed_record const& aRecord,
                        std::string_view aState,
                        page_source aSource)
  {
    bool const isPeer = aSource == page_source::Peer;
    LogEvent("server",
             { { "server", aRecord.mKey },
               { "state", std::string{ aState } },
               { "offset", static_cast<std::int64_t>(aRecord.mOffset) },
               { "told_by", std::string{ isPeer ? "peer" : "store" } } });
  }

  void TakeOperatorRecord(instant aNow, keyed_record const& aRecord)
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
    std::visit([this, aNow](auto const& aAny) { TakeWord(aNow, aAny); }, read);
  }

  // A key that this version doesn't know.
  void TakeWord(instant, std::monostate) {}

  void TakeWord(instant, std::shared_ptr<dispatch_config const> const& aConfig)
  {
    if (mOperators.Take(aConfig))
      LogEvent(
        "config_in_force",
        { { "version", static_cast<std::int64_t>(aConfig->Version()) } });
  }

  void TakeWord(instant aNow, loaded_model const& aNamed)
  {
    if (mOperators.Take(aNow, aNamed))
      LogEvent("weights_named",
               { { "model", aNamed.mModel.Text() },
                 { "version", static_cast<std::int64_t>(aNamed.mVersion) } });
  }

  server_register mServers;
  operator_state mOperators;
};

}
