#include <LibUpstream/Transfer.h>

namespace lycheeseam {

namespace {

// An attempt whose answer brings no bytes for this long fails.
constexpr long kStallSeconds = 30;

}

void
transfer::SetMethod()
{
  CURL* const handle = mHandle.get();
  std::string const url =
    "http://" + mRequest.mServer.Text() + mRequest.mTarget;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  // Sends the target unchanged; libcurl would normalize ".." in the path.
  curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
  if (mRequest.mMethod == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    return;
  }
  if (mRequest.mBody && !mRequest.mBody->empty()) {
    // libcurl reads the body in place, so that a long prompt isn't copied.
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, mRequest.mBody->data());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(mRequest.mBody->size()));
  }
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, mRequest.mMethod.c_str());
}

void
transfer::SetHeaders()
{
  // Keeps libcurl from adding "Expect: 100-continue".
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (header_field const& field : mRequest.mHeaders) {
    std::string const line = field.mName + ": " + field.mValue;
    list = curl_slist_append(list, line.c_str());
  }
  mHeaders.reset(list);
  curl_easy_setopt(mHandle.get(), CURLOPT_HTTPHEADER, list);
}

void
transfer::SetConnection()
{
  CURL* const handle = mHandle.get();
  curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(mRequest.mConnectTimeout.count()));
  curl_easy_setopt(handle, CURLOPT_LOW_SPEED_LIMIT, 1L);
  curl_easy_setopt(handle, CURLOPT_LOW_SPEED_TIME, kStallSeconds);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &transfer::OnBytes);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &transfer::OnHeadLine);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  // On a reused connection libcurl silently resends a request when the
  // connection is closed before the answer's first byte, and takes a late copy
  // of an earlier answer for the next one: answers don't name their requests.
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
}

}
