#pragma once

#include <LibCodec/RowSerializers.h>
#include <LibCodec/VariantSerializer.h>
#include <LibRecords/RowChange.h>

#include <tuple>

/// \file JSON serializers of changes of rows.

namespace lycheeseam {

template<typename Name, typename Row>
struct json_fields<row_change<Name, Row>>
{
  using change = row_change<Name, Row>;
  static constexpr std::tuple kFields{
    RequiredField("name", &change::mName),
    RequiredField("base", &change::mBase),
    OptionalField("row", &change::mRow),
  };
};

template<>
struct json_alternative<route_change>
{
  static constexpr std::string_view kName = "route";
};

template<>
struct json_alternative<pool_change>
{
  static constexpr std::string_view kName = "pool";
};

template<>
struct json_alternative<key_change>
{
  static constexpr std::string_view kName = "key";
};

template<>
struct json_alternative<workspace_change>
{
  static constexpr std::string_view kName = "workspace";
};

}
