#include "relay/endpoint_connection.h"

#include "transport/receive_share.h"
#include "transport/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace laurelhoist {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using asio_error = boost::system::error_code;

namespace {

/// Idle connections kept for one endpoint. Endpoints limit their connections from all hosts together and
/// reset any beyond the limit. Each request that may not be repeated opens a new connection, and without this
/// bound the idle ones would use up the endpoint's limit.
constexpr std::size_t max_idle_connections = 3;

connect_failure to_connect_failure(const asio_error& reason) {
    if (reason == asio::error::connection_refused) {
        return connect_failure::refused;
    }
    namespace errc = boost::system::errc;
    const bool is_own = reason == errc::too_many_files_open ||
                        reason == errc::too_many_files_open_in_system || reason == errc::no_buffer_space ||
                        reason == errc::not_enough_memory || reason == errc::address_not_available;
    return is_own ? connect_failure::own_shortage : connect_failure::unreachable;
}

} // namespace

endpoint_connection::endpoint_connection(asio::io_context& context, std::string address,
                                         byte_account unsent_bytes, std::size_t receive_bytes,
                                         byte_account receive_buffers)
    : socket_{context},
      address_{std::move(address)},
      unsent_{std::move(unsent_bytes)},
      receive_{std::move(receive_buffers)} {
    receive_.set(receive_bytes);
}

void endpoint_connection::connect(connection_observer& observer) {
    observer_ = &observer;
    const outcome<socket_address> parsed = parse_address(address_);
    const socket_address* target = value_of(parsed);
    if (target == nullptr) {
        log_error("bad_endpoint_address", {{"address", address_}, {"remedy", "register it as IP:PORT"}});
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (self->observer_ != nullptr) {
                self->observer_->on_connect_failed(connect_failure::unreachable);
            }
        });
        return;
    }
    asio_error failure;
    socket_.open(tcp::v4(), failure);
    if (!failure) {
        set_liveness_options(socket_);
        set_receive_buffer(socket_, receive_.bytes());
    }
    socket_.async_connect({asio::ip::make_address(target->host), target->port},
                          [self = shared_from_this()](asio_error reason) {
                              if (self->observer_ == nullptr) {
                                  return;
                              }
                              if (reason) {
                                  self->observer_->on_connect_failed(to_connect_failure(reason));
                                  return;
                              }
                              self->is_connected_ = true;
                              self->start_read();
                              self->observer_->on_connected();
                          });
}

void endpoint_connection::send(std::string bytes) {
    unsent_.set(unsent_.bytes() + bytes.size());
    outgoing_.push_back(std::move(bytes));
    if (outgoing_.size() == 1) {
        start_write();
    }
}

void endpoint_connection::start_write() {
    asio::async_write(socket_, asio::buffer(outgoing_.front()),
                      [self = shared_from_this()](asio_error failure, std::size_t) {
                          self->has_write_failed_ = self->has_write_failed_ || failure;
                          if (failure || self->outgoing_.empty()) {
                              return; // The pending read reports the end of the connection.
                          }
                          self->unsent_.set(self->unsent_.bytes() - self->outgoing_.front().size());
                          self->outgoing_.pop_front();
                          if (!self->outgoing_.empty()) {
                              self->start_write();
                          }
                      });
}

std::size_t endpoint_connection::unread_bytes() const {
    asio_error ignored;
    return is_open() ? socket_.available(ignored) : 0;
}

void endpoint_connection::resume_reading() {
    is_reading_paused_ = false;
    if (may_read() && is_open()) {
        start_read();
    }
}

void endpoint_connection::resume_deferred_reading() {
    is_reading_deferred_ = false;
    if (may_read() && is_open()) {
        start_read();
    }
}

void endpoint_connection::start_read() {
    is_reading_ = true;
    socket_.async_read_some(
        asio::buffer(incoming_), [self = shared_from_this()](asio_error failure, std::size_t bytes) {
            self->is_reading_ = false;
            if (failure) {
                // A write that fails takes the error of the connection with it, so that the read after it
                // finds an orderly end.
                const bool is_orderly = failure == asio::error::eof && !self->has_write_failed_;
                self->close_and_notify(is_orderly ? connection_end::finished : connection_end::broken);
                return;
            }
            if (self->observer_ == nullptr) {
                self->close(); // The connection is idle, so no answer is expected.
                return;
            }
            self->observer_->on_received({self->incoming_.data(), bytes});
            if (self->socket_.is_open() && self->may_read()) {
                self->start_read();
            }
        });
}

void endpoint_connection::close_and_notify(connection_end reason) {
    connection_observer* observer = observer_;
    close();
    if (observer != nullptr) {
        observer->on_closed(reason);
    }
}

void endpoint_connection::close() {
    observer_ = nullptr;
    asio_error ignored;
    socket_.close(ignored);
    receive_.set(0);
}

std::shared_ptr<endpoint_connection> connection_pool::take_idle(const std::string& address, time_point now) {
    auto& idle = idle_[address];
    while (!idle.empty()) {
        std::shared_ptr<endpoint_connection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_open() && connection->idle_until > now) {
            return connection;
        }
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<endpoint_connection> connection_pool::make(const std::string& address) {
    const std::size_t receive_bytes = receive_share(receive_bytes_, receive_buffers_.holders());
    return std::make_shared<endpoint_connection>(context_, address, unsent_bytes_, receive_bytes,
                                                 receive_buffers_);
}

void connection_pool::keep(std::shared_ptr<endpoint_connection> connection, time_point until) {
    auto& idle = idle_[connection->address()];
    if (idle.size() >= max_idle_connections) {
        connection->close();
        return;
    }
    connection->set_observer(nullptr);
    connection->resume_deferred_reading();
    connection->resume_reading(); // Otherwise the end of the idle connection would go unnoticed.
    connection->idle_until = until;
    idle.push_back(std::move(connection));
}

void connection_pool::drop(const std::string& address) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return;
    }
    for (const auto& connection : found->second) {
        connection->close();
    }
    idle_.erase(found);
}

void connection_pool::expire(time_point now) {
    for (auto item = idle_.begin(); item != idle_.end();) {
        auto& idle = item->second;
        while (!idle.empty() && (!idle.front()->is_open() || idle.front()->idle_until <= now)) {
            idle.front()->close();
            idle.pop_front();
        }
        item = idle.empty() ? idle_.erase(item) : std::next(item);
    }
}

} // namespace laurelhoist
