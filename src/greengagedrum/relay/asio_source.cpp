// The parts of Boost.Asio that need no template are compiled here, once.
#include <greengagedrum/relay/asio.hpp>

#include <boost/asio/impl/src.hpp>
