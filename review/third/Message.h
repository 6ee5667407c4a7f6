#pragma once

#include "Socket.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <utility>
#include <vector>

/// \file Reading and writing of HTTP/1.1 messages, as far as the stand-ins need
/// it.

namespace review {

struct message
{
  /// The request line or the status line.
  std::string mFirstLine;
  /// Names in lower case.
  std::vector<std::pair<std::string, std::string>> mFields;
  std::string mBody;

  [[nodiscard]] std::optional<std::string> Field(std::string_view aName) const
  {
    for (auto const& [name, value] : mFields) {
      if (name == aName)
        return value;
    }
    return std::nullopt;
  }

  /// The second word of the first line: a request's target, an answer's status.
  [[nodiscard]] std::string Second() const
  {
    std::size_t const begin = mFirstLine.find(' ') + 1;
    return mFirstLine.substr(begin, mFirstLine.find(' ', begin) - begin);
  }

  [[nodiscard]] std::string Method() const
  {
    return mFirstLine.substr(0, mFirstLine.find(' '));
  }
};

/// Reads messages from one connection.
class message_reader
{
public:
  explicit message_reader(connection& aConnection)
    : mConnection(aConnection)
  {
  }

  /// The next head; empty at the end of the connection.
  std::optional<message> ReadHead(milliseconds aTimeout)
  {
    std::size_t end = 0;
    while ((end = mBytes.find("\r\n\r\n")) == std::string::npos) {
      if (!mConnection.Receive(mBytes, aTimeout))
        return std::nullopt;
    }
    message head;
    std::size_t at = 0;
    while (at < end) {
      std::size_t const next = std::min(mBytes.find("\r\n", at), end);
      AddLine(head, mBytes.substr(at, next - at));
      at = next + 2;
    }
    mBytes.erase(0, end + 4);
    return head;
  }

  /// The next message with a body of known length.
  std::optional<message> Read(milliseconds aTimeout)
  {
    std::optional<message> read = ReadHead(aTimeout);
    if (!read || !ReadSized(*read, read->mBody, aTimeout))
      return std::nullopt;
    return read;
  }

  /// Reads a body of the length that aHead gives into aBody; true when it is
  /// whole.
  bool ReadSized(message const& aHead,
                 std::string& aBody,
                 milliseconds aTimeout)
  {
    std::size_t const length =
      std::stoul(aHead.Field("content-length").value_or("0"));
    while (mBytes.size() < length) {
      if (!mConnection.Receive(mBytes, aTimeout))
        return false;
    }
    aBody = mBytes.substr(0, length);
    mBytes.erase(0, length);
    return true;
  }

  /// Reads a chunked body into aBody; true when its last chunk arrived.
  bool ReadChunks(std::string& aBody, milliseconds aTimeout)
  {
    while (true) {
      std::optional<std::string> const line = ReadLine(aTimeout);
      if (!line)
        return false;
      std::size_t const size = std::stoul(*line, nullptr, 16);
      while (mBytes.size() < size + 2) {
        if (!mConnection.Receive(mBytes, aTimeout))
          return false;
      }
      aBody += mBytes.substr(0, size);
      mBytes.erase(0, size + 2);
      if (size == 0)
        return true;
    }
  }

private:
  static void AddLine(message& aTo, std::string const& aLine)
  {
    if (aTo.mFirstLine.empty()) {
      aTo.mFirstLine = aLine;
      return;
    }
    std::size_t const colon = aLine.find(':');
    std::string name = aLine.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char aCharacter) {
      return static_cast<char>(
        std::tolower(static_cast<unsigned char>(aCharacter)));
    });
    std::size_t const value = aLine.find_first_not_of(' ', colon + 1);
    aTo.mFields.emplace_back(std::move(name),
                             value == std::string::npos ? std::string{}
                                                        : aLine.substr(value));
  }

  std::optional<std::string> ReadLine(milliseconds aTimeout)
  {
    std::size_t end = 0;
    while ((end = mBytes.find("\r\n")) == std::string::npos) {
      if (!mConnection.Receive(mBytes, aTimeout))
        return std::nullopt;
    }
    std::string line = mBytes.substr(0, end);
    mBytes.erase(0, end + 2);
    return line;
  }

  connection& mConnection;
  std::string mBytes;
};

/// An answer with a length.
inline std::string
Answer(std::string const& aStatus,
       std::string const& aFields,
       std::string const& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

}
