#include <LibCodec/JsonText.h>
#include <LibCodec/RecordCodec.h>
#include <LibPlatform/PlatformCalls.h>
#include <LibPlatform/PlatformForms.h>

namespace lycheeseam {

namespace {

constexpr long kStatusOk = 200;
// Answers a read whose offset is before the retained range.
constexpr long kStatusGone = 410;

std::string
Url(platform_options const& aOptions, std::string_view aPath)
{
  return "http://" + aOptions.mAddress.Text() + std::string{ aPath };
}

// A body that can't be parsed is handled like a missing answer.
template<typename Reply>
std::optional<Reply>
Parse(http_reply const& aReply)
{
  try {
    return FromJsonText<Reply>(aReply.mBody);
  } catch (codec_error const&) {
    return std::nullopt;
  }
}

template<typename Reply>
std::optional<Reply>
ParseSuccess(http_reply const& aReply)
{
  if (!IsSuccess(aReply))
    return std::nullopt;
  return Parse<Reply>(aReply);
}

log_entry
Decode(raw_record const& aRecord)
{
  try {
    return { aRecord.mOffset, DecodeRecord(aRecord.mText) };
  } catch (codec_error const&) {
    return { aRecord.mOffset, no_operation{} };
  }
}

}

http_call
AppendCall(platform_options const& aOptions, log_record const& aRecord)
{
  return { .mMethod = http_method::Post,
           .mUrl = Url(aOptions, "/v1/log/records"),
           .mBody = EncodeRecord(aRecord),
           .mTimeout = aOptions.mCallTimeout };
}

http_call
ReadCall(platform_options const& aOptions, read_request const& aRequest)
{
  std::string const query =
    "?from=" + std::to_string(aRequest.mFrom.Value()) +
    "&max=" + std::to_string(aRequest.mMaxRecords) +
    "&wait_ms=" + std::to_string(aRequest.mMaxWait.count());
  return { .mUrl = Url(aOptions, "/v1/log/records" + query),
           .mTimeout = aOptions.mCallTimeout + aRequest.mMaxWait };
}

http_call
OffsetsCall(platform_options const& aOptions)
{
  return { .mUrl = Url(aOptions, "/v1/log/offsets"),
           .mTimeout = aOptions.mCallTimeout };
}

http_call
ListCall(platform_options const& aOptions)
{
  return { .mUrl = Url(aOptions, "/v1/instances"),
           .mTimeout = aOptions.mCallTimeout };
}

http_call
RegisterCall(platform_options const& aOptions, listed_instance const& aInstance)
{
  return { .mMethod = http_method::Put,
           .mUrl = Url(aOptions, "/v1/instances/" + aInstance.mId.Text()),
           .mBody = ToJsonText(aInstance),
           .mTimeout = aOptions.mCallTimeout };
}

http_call
RemoveCall(platform_options const& aOptions, instance_id const& aInstance)
{
  return { .mMethod = http_method::Delete,
           .mUrl = Url(aOptions, "/v1/instances/" + aInstance.Text()),
           .mTimeout = aOptions.mCallTimeout };
}

append_result
ParseAppendReply(http_reply const& aReply)
{
  if (aReply.mEnd == transfer_end::NotSent)
    return { .mStatus = append_status::NotSent };
  std::optional<append_reply> const reply = ParseSuccess<append_reply>(aReply);
  if (!reply)
    return { .mStatus = append_status::Unknown };
  return { .mStatus = append_status::Accepted, .mOffset = reply->mOffset };
}

read_result
ParseReadReply(http_reply const& aReply)
{
  if (aReply.mStatus == kStatusGone) {
    std::optional<log_range> const range = Parse<log_range>(aReply);
    if (!range)
      return {};
    return { .mStatus = read_status::BeforeRetention, .mRange = *range };
  }
  std::optional<read_reply> const reply = ParseSuccess<read_reply>(aReply);
  if (!reply)
    return {};
  read_result result{ .mStatus = read_status::Complete,
                      .mRange = reply->mRange };
  for (raw_record const& record : reply->mRecords)
    result.mEntries.push_back(Decode(record));
  return result;
}

std::optional<log_range>
ParseOffsetsReply(http_reply const& aReply)
{
  return ParseSuccess<log_range>(aReply);
}

std::optional<instance_list>
ParseListReply(http_reply const& aReply)
{
  return ParseSuccess<instance_list>(aReply);
}

bool
IsSuccess(http_reply const& aReply)
{
  return aReply.mEnd == transfer_end::Answered && aReply.mStatus == kStatusOk;
}

}
