#pragma once

#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/RowSerializers.h>
#include <LibConfig/ConfigTable.h>

#include <map>
#include <tuple>
#include <vector>

/// \file JSON serializers of rows with versions and of complete tables.

namespace lycheeseam {

template<typename Row>
struct json_fields<versioned<Row>>
{
  using entry = versioned<Row>;
  static constexpr std::tuple kFields{
    RequiredField("version", &entry::mVersion),
    RequiredField("row", &entry::mRow),
  };
};

/// A table is written as the array of its rows, since each row has its own
/// name.
template<typename Name, typename Row>
struct json_serializer<std::map<Name, versioned<Row>>>
{
  using rows = std::map<Name, versioned<Row>>;
  using list = std::vector<versioned<Row>>;

  static rows Read(nlohmann::json const& aJson, json_path const& aPath)
  {
    rows result;
    for (versioned<Row>& entry : json_serializer<list>::Read(aJson, aPath)) {
      Name const name = config_table<Row>::NameOf(entry.mRow);
      result.emplace(name, std::move(entry));
    }
    return result;
  }

  static nlohmann::json Write(rows const& aRows)
  {
    nlohmann::json array = nlohmann::json::array();
    for (auto const& [name, entry] : aRows)
      array.push_back(json_serializer<versioned<Row>>::Write(entry));
    return array;
  }
};

template<>
struct json_fields<config_tables>
{
  static constexpr std::tuple kFields{
    RequiredField("offset", &config_tables::mOffset),
    RequiredField("routes", &config_tables::mRoutes),
    RequiredField("pools", &config_tables::mPools),
    RequiredField("keys", &config_tables::mKeys),
    RequiredField("workspaces", &config_tables::mWorkspaces),
  };
};

}
