#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>
#include <vector>

namespace lycheeseam {

/// The content of a frame that the code at commit 2e58af3 encoded: a relay of
/// the servers' topic from offset 1 to 2 of the first era, with the second
/// entry of engine-1.
inline std::vector<std::uint8_t>
RecordedRelay()
{
  constexpr std::string_view kHex =
    "100000004c53504d08000e000700080008000000000000131400000000000e00"
    "1c00070000000c00140008000e00000000000001140000000100000000010000"
    "0200000000010000010000001000000000000a0014000c00040008000a000000"
    "880000000c0000000100000000010000740000007b2273657276696365223a20"
    "2270222c202261646472223a20223132372e302e302e313a39222c20227a6f6e"
    "65223a20227a222c2022736c6f7473223a20342c0a2020202020202020202020"
    "2020227374617465223a20227265616479222c2022626f726e223a20372c2022"
    "736571223a20327d08000000656e67696e652d3100000000";
  std::vector<std::uint8_t> bytes;
  for (std::size_t at = 0; at < kHex.size(); at += 2) {
    constexpr int kBase = 16;
    std::string_view const digits = kHex.substr(at, 2);
    std::uint8_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, kBase);
    bytes.push_back(value);
  }
  return bytes;
}

}
