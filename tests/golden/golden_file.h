// Committed golden files: what crosses a process boundary, as text. Each file is compared line by line.
//
// With the environment variable FOXSHUNT_WRITE_GOLDEN=1 the files are written anew instead, and every test that wrote one
// fails, so that no run with it can pass for a comparison. Read the difference before committing it: stored records and
// peers of other versions have the old bytes.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "wire/value.h"

namespace foxshunt::golden {

// The path of a golden file.
[[nodiscard]] std::string path_of(const std::string& file);

// Compares the file with `actual`; a failure names the file and the first line that differs.
void expect_same(const std::string& file, const std::string& actual);

// One line of JSON; the order of keys is that of the message.
[[nodiscard]] std::string to_json(const wire::Value& value);
[[nodiscard]] wire::Value from_json(std::string_view text);

// The encoded value in hexadecimal digits.
[[nodiscard]] std::string to_hex(const wire::Value& value);

// What it decodes, as it encodes it again.
using Codec = std::function<wire::Value(const wire::Value&)>;

// Decodes the bytes of each entry of the file by the codec that its head names, encodes them again and compares the file
// with what came out. An entry is
//   [codec] what it is
//   json <the message, for readers>
//   hex <its bytes>
// A new entry needs no bytes: they are made from its JSON when golden files are written.
void expect_read_back(const std::string& file, const std::map<std::string, Codec>& codecs);

}  // namespace foxshunt::golden
