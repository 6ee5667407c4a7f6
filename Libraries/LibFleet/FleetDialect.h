#pragma once

#include <LibDispatch/PoolSoftware.h>
#include <LibDispatch/RegisteredServer.h>
#include <LibDispatch/StreamOrigin.h>
#include <LibFleet/EngineReport.h>
#include <LibFleet/OperatorRecord.h>
#include <LibFleet/OrderAnswer.h>
#include <LibFleet/QuotaUsage.h>
#include <LibFleet/StoreAppendResult.h>
#include <LibFleet/WeightsOrder.h>
#include <LibHttp/HttpExchangeResult.h>
#include <LibHttp/RequestHead.h>
#include <LibPeer/PeerHello.h>
#include <LibPeer/RolloutNotice.h>
#include <LibStore/KeyedRecord.h>
#include <LibStore/StoreEra.h>
#include <LibStore/StoreTopic.h>
#include <LibStore/TopicPage.h>

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The names and formats of the platform's store and of its records, and those
/// of orders to engines. All functions are static; those that read throw
/// invalid_input.
template<typename Dialect>
concept fleet_dialect = requires(store_topic aTopic,
                                 std::string_view aText,
                                 std::uint64_t aOffset,
                                 store_era aEra,
                                 store_position aPosition,
                                 std::optional<std::uint64_t> aAt,
                                 keyed_record const& aRecord,
                                 weights_order const& aOrder,
                                 backend_server_id const& aServer,
                                 peer_hello const& aInstance,
                                 quota_usage const& aUsage,
                                 std::span<pool_software const> aSoftware,
                                 std::span<stream_origin const> aOrigins,
                                 std::span<rollout_notice const> aNotices,
                                 rollout_state const& aState,
                                 http_exchange_result const& aResult)
{
  // The newest record of each key that sorts after a given key.
  {
    Dialect::NewestRequest(aTopic, aText)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadNewest(aText, aEra)
    } -> std::same_as<topic_page>;
  // All records from an offset on.
  {
    Dialect::RecordsRequest(aTopic, aOffset)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadRecords(aText, aPosition)
    } -> std::same_as<topic_page>;
  // The content of a record, by its key and its value.
  {
    Dialect::ReadOperatorRecord(aText, aText)
    } -> std::same_as<operator_record>;
  {
    Dialect::ReadServer(aText, aText)
    } -> std::same_as<registered_server>;
  // The era of the store that an answer shows; the first one when it names
  // none.
  {
    Dialect::ReadEra(aResult)
    } -> std::same_as<store_era>;
  // Appends a record; with an offset, only if the topic ends there.
  {
    Dialect::AppendRequest(aTopic, aAt)
    } -> std::same_as<request_head>;
  {
    Dialect::FormatRecord(aRecord)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadAppend(aResult)
    } -> std::same_as<store_append_result>;
  // An instance's own entry.
  {
    Dialect::FormatInstance(aInstance)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadInstance(aText, aText)
    } -> std::same_as<peer_hello>;
  // The usage of the last quota window.
  {
    Dialect::FormatUsage(aUsage)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadUsage(aText)
    } -> std::same_as<quota_usage>;
  // The software that the servers of each pool have run lately.
  {
    Dialect::FormatSoftware(aSoftware)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadSoftware(aText)
    } -> std::same_as<std::vector<pool_software>>;
  // The software that began streams.
  {
    Dialect::FormatOrigins(aOrigins)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadOrigins(aText)
    } -> std::same_as<std::vector<stream_origin>>;
  // The states of a pool's rollouts, and the record that tells operators the
  // progress of one.
  {
    Dialect::FormatRollouts(aNotices)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadRollouts(aText)
    } -> std::same_as<std::vector<rollout_notice>>;
  {
    Dialect::FormatRolloutStatus(aState)
    } -> std::same_as<keyed_record>;
  // Orders to engines, and the engines' reports of their state.
  {
    Dialect::OrderRequest(aOrder)
    } -> std::same_as<request_head>;
  {
    Dialect::FormatOrder(aOrder)
    } -> std::same_as<std::string>;
  {
    Dialect::ReadOrderAnswer(aResult)
    } -> std::same_as<order_answer>;
  {
    Dialect::ReportRequest(aServer)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadReport(aText)
    } -> std::same_as<engine_report>;
};

}
