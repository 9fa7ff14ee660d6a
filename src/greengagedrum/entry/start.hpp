// The start of an entry as a process of its own.
//
// The ports may still be held, by a predecessor that drains or by another
// program, and the instance's address may come up late. Both pass, so the start
// waits for as long as a predecessor may take. Until all ports are there none
// is kept, and the callers' port comes last: no caller is taken by a process
// that may not serve.
#pragma once

#include <greengagedrum/entry/entry.hpp>
#include <greengagedrum/entry/held_signals.hpp>

#include <memory>

namespace greengagedrum::entry
{

// Null if a signal asked for a stop meanwhile. Throws
// boost::system::system_error if a port can't be had in time or for another
// reason.
std::unique_ptr<entry> start(const settings& values,
                             const entry::settings_loader& load_settings,
                             const held_signals& signals);

} // namespace greengagedrum::entry
