#pragma once

#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/EnumSerializer.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/ScalarSerializers.h>
#include <LibPlatform/AppendReply.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/ReadReply.h>

#include <tuple>

/// \file The JSON fields of the platform's replies; see docs/PLATFORM-API.md.

namespace lycheeseam {

template<>
struct json_enum<instance_state>
{
  static constexpr std::array kNames{
    enum_name<instance_state>{ instance_state::Live, "live" },
    enum_name<instance_state>{ instance_state::Leaving, "leaving" },
  };
};

template<>
struct json_fields<log_range>
{
  static constexpr std::tuple kFields{
    RequiredField("earliest", &log_range::mEarliest),
    RequiredField("tail", &log_range::mTail),
  };
};

template<>
struct json_fields<raw_record>
{
  static constexpr std::tuple kFields{
    RequiredField("offset", &raw_record::mOffset),
    RequiredField("record", &raw_record::mText),
  };
};

template<>
struct json_fields<append_reply>
{
  static constexpr std::tuple kFields{
    RequiredField("offset", &append_reply::mOffset),
  };
};

template<>
struct json_fields<read_reply>
{
  static constexpr std::tuple kFields{
    RequiredField("range", &read_reply::mRange),
    RequiredField("records", &read_reply::mRecords),
  };
};

template<>
struct json_fields<listed_instance>
{
  static constexpr std::tuple kFields{
    RequiredField("id", &listed_instance::mId),
    RequiredField("incarnation", &listed_instance::mIncarnation),
    RequiredField("callers", &listed_instance::mCallers),
    RequiredField("peers", &listed_instance::mPeers),
    RequiredField("failure_domain", &listed_instance::mFailureDomain),
    OptionalField("state", &listed_instance::mState),
  };
};

template<>
struct json_fields<instance_list>
{
  static constexpr std::tuple kFields{
    RequiredField("instances", &instance_list::mInstances),
  };
};

}
