#pragma once

#include <LibDispatch/ListedServer.h>
#include <LibFleet/KeyedRecord.h>
#include <LibFleet/OperatorRecord.h>
#include <LibFleet/StoreTopic.h>
#include <LibFleet/TopicPage.h>
#include <LibHttp/RequestHead.h>

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace lycheeseam {

/// The names and formats of the platform's store and of what lies in it. All
/// functions are static; those that read throw invalid_input.
template<typename Dialect>
concept fleet_dialect = requires(store_topic aTopic,
                                 std::string_view aText,
                                 std::uint64_t aOffset)
{
  // The newest record of each key behind a key.
  {
    Dialect::NewestRequest(aTopic, aText)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadNewest(aText)
    } -> std::same_as<topic_page>;
  // All records from an offset on.
  {
    Dialect::RecordsRequest(aTopic, aOffset)
    } -> std::same_as<request_head>;
  {
    Dialect::ReadRecords(aText, aOffset)
    } -> std::same_as<topic_page>;
  {
    Dialect::ReadOperatorRecord(aText, aText)
    } -> std::same_as<operator_record>;
  {
    Dialect::ReadServer(aText, aText)
    } -> std::same_as<listed_server>;
};

}
