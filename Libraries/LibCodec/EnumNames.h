#pragma once

#include <LibCodec/EnumSerializer.h>
#include <LibConfig/FencingSupport.h>
#include <LibConfig/Idempotency.h>
#include <LibConfig/PoolKind.h>
#include <LibConfig/PriorityClass.h>
#include <LibConfig/RouteAccess.h>
#include <LibConfig/StreamResume.h>
#include <LibCore/Verdict.h>

#include <array>

/// \file The JSON names of the enumerators in rows and records.

namespace lycheeseam {

template<>
struct json_enum<fencing_support>
{
  static constexpr std::array kNames{
    enum_name<fencing_support>{ fencing_support::Checked, "checked" },
    enum_name<fencing_support>{ fencing_support::Ignored, "ignored" },
  };
};

template<>
struct json_enum<idempotency>
{
  static constexpr std::array kNames{
    enum_name<idempotency>{ idempotency::Idempotent, "idempotent" },
    enum_name<idempotency>{ idempotency::NonIdempotent, "non_idempotent" },
  };
};

template<>
struct json_enum<pool_kind>
{
  static constexpr std::array kNames{
    enum_name<pool_kind>{ pool_kind::Model, "model" },
    enum_name<pool_kind>{ pool_kind::Service, "service" },
  };
};

template<>
struct json_enum<priority_class>
{
  static constexpr std::array kNames{
    enum_name<priority_class>{ priority_class::Interactive, "interactive" },
    enum_name<priority_class>{ priority_class::Normal, "normal" },
    enum_name<priority_class>{ priority_class::Batch, "batch" },
  };
};

template<>
struct json_enum<route_access>
{
  static constexpr std::array kNames{
    enum_name<route_access>{ route_access::Keyed, "keyed" },
    enum_name<route_access>{ route_access::Open, "open" },
  };
};

template<>
struct json_enum<stream_resume>
{
  static constexpr std::array kNames{
    enum_name<stream_resume>{ stream_resume::Never, "never" },
    enum_name<stream_resume>{ stream_resume::OtherServer, "other_server" },
  };
};

template<>
struct json_enum<verdict>
{
  static constexpr std::array kNames{
    enum_name<verdict>{ verdict::NotRun, "not_run" },
    enum_name<verdict>{ verdict::MayHaveRun, "may_have_run" },
    enum_name<verdict>{ verdict::Ran, "ran" },
  };
};

}
