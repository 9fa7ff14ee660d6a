// A client of one address, its time-outs set by name.
#pragma once

#include <chrono>
#include <memory>
#include <string>

namespace httplib
{
class Client;
} // namespace httplib

namespace load
{

// A client with keep-alive and without Nagle's delay (44 ms a small request
// with it). It serializes its requests: one thread, one client. Never null;
// an address that can't be one fails at the first request.
std::unique_ptr<httplib::Client> make_client(const std::string& address);

// Bounds connecting and each single read and write. cpp-httplib's own are 300
// s and 5 s.
void bound_client(httplib::Client& client, std::chrono::milliseconds longest);

// "IP:port" of a number and a port.
bool is_address(const std::string& address);

} // namespace load
