#pragma once

#include <LibPlatform/AppendResult.h>
#include <LibPlatform/HttpCall.h>
#include <LibPlatform/HttpReply.h>
#include <LibPlatform/InstanceList.h>
#include <LibPlatform/LogRange.h>
#include <LibPlatform/PlatformOptions.h>
#include <LibPlatform/ReadRequest.h>
#include <LibPlatform/ReadResult.h>
#include <LibRecords/LogRecord.h>

#include <optional>

/// \file Builds the HTTP requests of the platform's API and parses its replies;
/// see docs/PLATFORM-API.md.

namespace lycheeseam {

http_call
AppendCall(platform_options const& aOptions, log_record const& aRecord);

http_call
ReadCall(platform_options const& aOptions, read_request const& aRequest);

http_call
OffsetsCall(platform_options const& aOptions);

http_call
ListCall(platform_options const& aOptions);

http_call
RegisterCall(platform_options const& aOptions,
             listed_instance const& aInstance);

http_call
RemoveCall(platform_options const& aOptions, instance_id const& aInstance);

append_result
ParseAppendReply(http_reply const& aReply);

/// Records that this version can't decode become no-operations, so that the
/// offsets stay without gaps.
read_result
ParseReadReply(http_reply const& aReply);

std::optional<log_range>
ParseOffsetsReply(http_reply const& aReply);

std::optional<instance_list>
ParseListReply(http_reply const& aReply);

/// True when the platform answered with status 200.
bool
IsSuccess(http_reply const& aReply);

}
