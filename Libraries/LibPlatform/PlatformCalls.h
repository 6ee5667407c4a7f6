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

/// \file The platform's calls as HTTP and back; docs/PLATFORM-API.md.

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
ReadAppendReply(http_reply const& aReply);

/// Records that this version can't read become no-operations, so that their
/// offsets still count.
read_result
ReadReadReply(http_reply const& aReply);

std::optional<log_range>
ReadOffsetsReply(http_reply const& aReply);

std::optional<instance_list>
ReadListReply(http_reply const& aReply);

/// True when the platform took the call.
bool
IsSuccess(http_reply const& aReply);

}
