#include <LibCodec/ClaimCheckpoint.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/RecordSerializers.h>

namespace lycheeseam {

template<>
struct json_fields<instance_identity>
{
  static constexpr std::tuple kFields{
    RequiredField("instance", &instance_identity::mInstance),
    RequiredField("incarnation", &instance_identity::mIncarnation),
  };
};

template<>
struct json_fields<claim_identity>
{
  static constexpr std::tuple kFields{
    RequiredField("owner", &claim_identity::mOwner),
    RequiredField("number", &claim_identity::mNumber),
  };
};

template<>
struct json_fields<claim_entry>
{
  static constexpr std::tuple kFields{
    RequiredField("claim", &claim_entry::mClaim),
    RequiredField("fingerprint", &claim_entry::mFingerprint),
    RequiredField("offset", &claim_entry::mOffset),
    OptionalField("outcome", &claim_entry::mOutcome),
  };
};

template<>
struct json_fields<kept_claim>
{
  static constexpr std::tuple kFields{
    RequiredField("key", &kept_claim::mKey),
    RequiredField("entry", &kept_claim::mEntry),
  };
};

template<>
struct json_fields<kept_release>
{
  static constexpr std::tuple kFields{
    RequiredField("offset", &kept_release::mOffset),
    RequiredField("claim", &kept_release::mClaim),
  };
};

template<>
struct json_fields<claim_state>
{
  static constexpr std::tuple kFields{
    RequiredField("claims", &claim_state::mClaims),
    RequiredField("releases", &claim_state::mReleases),
  };
};

std::string
EncodeClaimState(claim_state const& aState)
{
  return ToJsonText(aState);
}

claim_state
DecodeClaimState(std::string_view aText)
{
  return FromJsonText<claim_state>(aText);
}

}
