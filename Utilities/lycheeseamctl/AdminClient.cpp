#include "AdminClient.h"

#include <LibCore/Error.h>

#include <curl/curl.h>

#include <fstream>
#include <iterator>
#include <memory>

namespace lycheeseam {

namespace {

// Longer than an instance waits for the log to accept a change, so that the
// answer arrives.
constexpr long kTimeoutSeconds = 20;

struct handle_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct list_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

using header_list = std::unique_ptr<curl_slist, list_deleter>;

std::string
ReadFile(std::string const& aPath)
{
  std::ifstream file{ aPath, std::ios::binary };
  if (!file)
    throw error("can't read " + aPath);
  return { std::istreambuf_iterator<char>{ file }, {} };
}

std::size_t
OnBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

header_list
MakeHeaders(admin_client_options const& aOptions)
{
  std::string const key = "Authorization: Bearer " + aOptions.mKey;
  curl_slist* list = curl_slist_append(nullptr, key.c_str());
  // A header without a value makes curl omit it ("Expect: 100-continue").
  list = curl_slist_append(list, "Expect:");
  list = curl_slist_append(list, "Content-Type: application/json");
  if (!aOptions.mIfMatch.empty()) {
    std::string const match = "If-Match: " + aOptions.mIfMatch;
    list = curl_slist_append(list, match.c_str());
  }
  return header_list{ list };
}

}

admin_reply
CallAdmin(admin_client_options const& aOptions, command const& aCommand)
{
  std::string const body =
    aCommand.mBodyFile.empty() ? std::string{} : ReadFile(aCommand.mBodyFile);
  std::unique_ptr<CURL, handle_deleter> const handle{ curl_easy_init() };
  header_list const headers = MakeHeaders(aOptions);
  std::string const url = "http://" + aOptions.mServer.Text() + aCommand.mPath;
  admin_reply reply;
  curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
  // An empty name makes curl ignore the proxies of the environment.
  curl_easy_setopt(handle.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT, kTimeoutSeconds);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &OnBytes);
  curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.mBody);
  if (!aCommand.mBodyFile.empty()) {
    curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.data());
    curl_easy_setopt(handle.get(),
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(body.size()));
  }
  curl_easy_setopt(
    handle.get(), CURLOPT_CUSTOMREQUEST, aCommand.mMethod.c_str());
  CURLcode const result = curl_easy_perform(handle.get());
  if (result != CURLE_OK)
    throw error("no answer from " + aOptions.mServer.Text() + ": " +
                curl_easy_strerror(result));
  long status = 0;
  curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.mStatus = static_cast<std::uint16_t>(status);
  return reply;
}

}
