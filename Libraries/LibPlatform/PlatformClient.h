#pragma once

#include <LibPlatform/CallbackPoster.h>
#include <LibPlatform/LogService.h>
#include <LibPlatform/PlatformCalls.h>
#include <LibPlatform/PlatformOptions.h>
#include <LibPlatform/TransferLoop.h>

#include <functional>
#include <optional>
#include <utility>

namespace lycheeseam {

/// Receives the list of instances, or nothing when it is unavailable; runs
/// once.
using list_callback = std::function<void(std::optional<instance_list> const&)>;

/// Receives true when the platform accepted the call; runs once.
using done_callback = std::function<void(bool)>;

/// Client of the platform's HTTP API: a log_service and the list of instances.
/// The transfer_loop's thread parses the replies; the poster runs each callback
/// with its result on the thread that it posts to.
template<callback_poster Poster>
class platform_client
{
public:
  platform_client(platform_options aOptions, Poster aPoster)
    : mOptions(std::move(aOptions))
    , mPoster(std::move(aPoster))
  {
  }

  /// Appends a record to the log.
  void Append(log_record const& aRecord, append_callback aDone)
  {
    Start(AppendCall(mOptions, aRecord), &ParseAppendReply, std::move(aDone));
  }

  /// Reads records from an offset on; the log waits up to mMaxWait for the
  /// first.
  void Read(read_request const& aRequest, read_callback aDone)
  {
    Start(ReadCall(mOptions, aRequest), &ParseReadReply, std::move(aDone));
  }

  /// Queries the log's earliest and tail offsets.
  void Offsets(range_callback aDone)
  {
    Start(OffsetsCall(mOptions), &ParseOffsetsReply, std::move(aDone));
  }

  /// Queries the list of live and leaving instances.
  void ListInstances(list_callback aDone)
  {
    Start(ListCall(mOptions), &ParseListReply, std::move(aDone));
  }

  /// Adds an instance to the list, or replaces its entry.
  void RegisterInstance(listed_instance const& aInstance, done_callback aDone)
  {
    Start(RegisterCall(mOptions, aInstance), &IsSuccess, std::move(aDone));
  }

  /// Removes an instance from the list.
  void RemoveInstance(instance_id const& aInstance, done_callback aDone)
  {
    Start(RemoveCall(mOptions, aInstance), &IsSuccess, std::move(aDone));
  }

private:
  template<typename Result, typename Callback>
  void Start(http_call const& aCall,
             Result (*aRead)(http_reply const&),
             Callback aDone)
  {
    auto const finish = [poster = mPoster, aRead, done = std::move(aDone)](
                          http_reply const& aReply) {
      poster([done, result = aRead(aReply)]() { done(result); });
    };
    mTransfers.Start(aCall, finish);
  }

  platform_options mOptions;
  Poster mPoster;
  transfer_loop mTransfers;
};

}
