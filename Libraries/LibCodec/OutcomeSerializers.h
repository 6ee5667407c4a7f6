#pragma once

#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/EnumSerializer.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/ScalarSerializers.h>
#include <LibConfigLog/ProposalOutcome.h>

#include <tuple>

/// \file JSON serializers of proposals' outcomes.

namespace lycheeseam {

template<>
struct json_enum<table_kind>
{
  static constexpr std::array kNames{
    enum_name<table_kind>{ table_kind::Routes, "routes" },
    enum_name<table_kind>{ table_kind::Pools, "pools" },
    enum_name<table_kind>{ table_kind::Keys, "keys" },
    enum_name<table_kind>{ table_kind::Workspaces, "workspaces" },
  };
};

template<>
struct json_enum<proposal_status>
{
  static constexpr std::array kNames{
    enum_name<proposal_status>{ proposal_status::Accepted, "accepted" },
    enum_name<proposal_status>{ proposal_status::Conflict, "conflict" },
    enum_name<proposal_status>{ proposal_status::Refused, "refused" },
  };
};

template<>
struct json_enum<config_rule>
{
  using rule = config_rule;
  static constexpr std::array kNames{
    enum_name<rule>{ rule::DistinctChanges, "distinct_changes" },
    enum_name<rule>{ rule::LastOffset, "last_offset" },
    enum_name<rule>{ rule::RowName, "row_name" },
    enum_name<rule>{ rule::Bounds, "bounds" },
    enum_name<rule>{ rule::PathPrefix, "path_prefix" },
    enum_name<rule>{ rule::MissingPool, "missing_pool" },
    enum_name<rule>{ rule::PoolInUse, "pool_in_use" },
    enum_name<rule>{ rule::MissingWorkspace, "missing_workspace" },
    enum_name<rule>{ rule::WorkspaceInUse, "workspace_in_use" },
    enum_name<rule>{ rule::Servers, "servers" },
  };
};

template<>
struct json_fields<row_reference>
{
  static constexpr std::tuple kFields{
    RequiredField("table", &row_reference::mTable),
    RequiredField("name", &row_reference::mName),
  };
};

template<>
struct json_fields<row_conflict>
{
  static constexpr std::tuple kFields{
    RequiredField("row", &row_conflict::mRow),
    RequiredField("base", &row_conflict::mBase),
    RequiredField("current", &row_conflict::mCurrent),
  };
};

template<>
struct json_fields<config_fault>
{
  static constexpr std::tuple kFields{
    RequiredField("rule", &config_fault::mRule),
    RequiredField("row", &config_fault::mRow),
    RequiredField("reason", &config_fault::mReason),
  };
};

template<>
struct json_fields<proposal_outcome>
{
  static constexpr std::tuple kFields{
    RequiredField("proposal", &proposal_outcome::mProposal),
    RequiredField("offset", &proposal_outcome::mOffset),
    RequiredField("last_offset", &proposal_outcome::mLastOffset),
    RequiredField("status", &proposal_outcome::mStatus),
    RequiredField("conflicts", &proposal_outcome::mConflicts),
    RequiredField("faults", &proposal_outcome::mFaults),
  };
};

}
