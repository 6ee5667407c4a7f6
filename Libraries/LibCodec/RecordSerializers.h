#pragma once

#include <LibCodec/Base64Serializer.h>
#include <LibCodec/ContainerSerializers.h>
#include <LibCodec/EnumNames.h>
#include <LibCodec/ObjectSerializer.h>
#include <LibCodec/RowChangeSerializer.h>
#include <LibCodec/RowSerializers.h>
#include <LibCodec/ScalarSerializers.h>
#include <LibCodec/VariantSerializer.h>
#include <LibRecords/LogRecord.h>

#include <tuple>

/// \file JSON serializers of the log's records.

namespace lycheeseam {

template<>
struct json_fields<record_origin>
{
  static constexpr std::tuple kFields{
    RequiredField("proposal", &record_origin::mProposal),
    RequiredField("instance", &record_origin::mInstance),
    RequiredField("incarnation", &record_origin::mIncarnation),
    RequiredField("last_offset", &record_origin::mLastOffset),
  };
};

template<>
struct json_fields<config_proposal>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &config_proposal::mOrigin),
    RequiredField("operator", &config_proposal::mOperator),
    RequiredField("changes", &config_proposal::mChanges),
  };
};

template<>
struct json_fields<slot_claim>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &slot_claim::mOrigin),
    RequiredField("slot", &slot_claim::mSlot),
    RequiredField("base", &slot_claim::mBase),
  };
};

template<>
struct json_fields<request_key>
{
  static constexpr std::tuple kFields{
    RequiredField("workspace", &request_key::mWorkspace),
    RequiredField("key", &request_key::mKey),
  };
};

template<>
struct json_fields<request_claim>
{
  static constexpr std::tuple kFields{
    RequiredField("key", &request_claim::mKey),
    RequiredField("fingerprint", &request_claim::mFingerprint),
    RequiredField("number", &request_claim::mNumber),
  };
};

template<>
struct json_fields<request_claim_batch>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &request_claim_batch::mOrigin),
    RequiredField("claims", &request_claim_batch::mClaims),
  };
};

template<>
struct json_fields<request_outcome>
{
  static constexpr std::tuple kFields{
    RequiredField("key", &request_outcome::mKey),
    RequiredField("number", &request_outcome::mNumber),
    RequiredField("verdict", &request_outcome::mVerdict),
    OptionalField("status", &request_outcome::mStatus),
    OptionalField("content_type", &request_outcome::mContentType),
    json_field<request_outcome, std::string, base64_serializer>{
      "body_base64",
      &request_outcome::mBody,
      field_presence::Optional },
  };
};

template<>
struct json_fields<request_outcome_batch>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &request_outcome_batch::mOrigin),
    RequiredField("outcomes", &request_outcome_batch::mOutcomes),
  };
};

template<>
struct json_fields<lease_grant>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &lease_grant::mOrigin),
    RequiredField("pool", &lease_grant::mPool),
    RequiredField("base", &lease_grant::mBase),
    RequiredField("term_ms", &lease_grant::mTerm),
  };
};

template<>
struct json_fields<no_operation>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &no_operation::mOrigin),
  };
};

template<>
struct json_fields<checkpoint>
{
  static constexpr std::tuple kFields{
    RequiredField("origin", &checkpoint::mOrigin),
    RequiredField("covers", &checkpoint::mCovers),
    RequiredField("state", &checkpoint::mState),
  };
};

template<>
struct json_alternative<config_proposal>
{
  static constexpr std::string_view kName = "config_proposal";
};

template<>
struct json_alternative<slot_claim>
{
  static constexpr std::string_view kName = "slot_claim";
};

template<>
struct json_alternative<request_claim_batch>
{
  static constexpr std::string_view kName = "request_claim_batch";
};

template<>
struct json_alternative<request_outcome_batch>
{
  static constexpr std::string_view kName = "request_outcome_batch";
};

template<>
struct json_alternative<lease_grant>
{
  static constexpr std::string_view kName = "lease_grant";
};

template<>
struct json_alternative<no_operation>
{
  static constexpr std::string_view kName = "no_operation";
};

template<>
struct json_alternative<checkpoint>
{
  static constexpr std::string_view kName = "checkpoint";
};

}
