#include "transport/link.h"

#include "transport/tcp_listener.h"

#include <boost/asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>

namespace laurelhoist {

namespace {

using websocketpp::connection_hdl;

constexpr duration ping_interval = seconds(1);
constexpr std::size_t max_message_bytes = 16 << 20;

struct server_config : websocketpp::config::asio {
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
};
struct client_config : websocketpp::config::asio_client {
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
};

/** Shared by servers and clients: the connections and the time at which each last received something. */
template <class Endpoint>
class link_table {
public:
    link_table(Endpoint& endpoint, link_handlers handlers)
        : endpoint_{endpoint}, handlers_{std::move(handlers)} {
        endpoint_.clear_access_channels(websocketpp::log::alevel::all);
        endpoint_.clear_error_channels(websocketpp::log::elevel::all);
        endpoint_.set_max_message_size(max_message_bytes);
        // Links exchange small messages that wait for one another. With Nagle's algorithm, which TCP uses by
        // default, the acknowledgement of a bill, and with it the response to the caller, sometimes arrives
        // about 40 ms late.
        endpoint_.set_tcp_post_init_handler([this](connection_hdl handle) {
            websocketpp::lib::error_code failure;
            boost::system::error_code ignored;
            const auto opened = endpoint_.get_con_from_hdl(handle, failure);
            if (opened) {
                opened->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay{true}, ignored);
            }
        });
        endpoint_.set_open_handler([this](connection_hdl handle) { on_open(handle); });
        endpoint_.set_close_handler([this](connection_hdl handle) { on_close(handle); });
        endpoint_.set_fail_handler([this](connection_hdl handle) { on_close(handle); });
        endpoint_.set_pong_handler([this](connection_hdl handle, const std::string&) { note_heard(handle); });
        endpoint_.set_message_handler([this](connection_hdl handle, typename Endpoint::message_ptr message) {
            note_heard(handle);
            const auto found = id_by_handle_.find(handle);
            if (found != id_by_handle_.end()) {
                handlers_.on_message(found->second, message->get_payload());
            }
        });
    }

    link_id add(const connection_hdl& handle) {
        const link_id id = ++last_id_;
        connections_[id] = {handle, monotonic_now(), false};
        id_by_handle_[handle] = id;
        return id;
    }

    void send(link_id link, const std::string& message) {
        const auto found = connections_.find(link);
        if (found == connections_.end() || !found->second.is_open) {
            return;
        }
        websocketpp::lib::error_code ignored;
        endpoint_.send(found->second.handle, message, websocketpp::frame::opcode::binary, ignored);
        bytes_sent_ += message.size();
    }

    void close(link_id link) {
        const auto found = connections_.find(link);
        if (found == connections_.end()) {
            return;
        }
        // A WebSocket closing handshake would wait for the peer, which may no longer respond.
        websocketpp::lib::error_code ignored;
        const auto connection = endpoint_.get_con_from_hdl(found->second.handle, ignored);
        if (connection) {
            connection->terminate(ignored);
        }
    }

    void ping_all() {
        const time_point now = monotonic_now();
        std::vector<link_id> silent;
        for (const auto& [id, connection] : connections_) {
            websocketpp::lib::error_code ignored;
            if (connection.is_open) {
                endpoint_.ping(connection.handle, "", ignored);
            }
            if (now - connection.last_heard > link_idle_timeout) {
                silent.push_back(id);
            }
        }
        for (const link_id id : silent) {
            log_warning("link_silent", {{"link", id}});
            const connection_hdl handle = connections_.at(id).handle;
            close(id);
            on_close(handle);
        }
    }

    std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    struct open_link {
        connection_hdl handle;
        time_point last_heard;
        bool is_open = false;
    };

    void on_open(const connection_hdl& handle) {
        const auto known = id_by_handle_.find(handle);
        const link_id id = known == id_by_handle_.end() ? add(handle) : known->second;
        connections_[id].is_open = true;
        note_heard(handle);
        handlers_.on_open(id);
    }

    void on_close(const connection_hdl& handle) {
        const auto found = id_by_handle_.find(handle);
        if (found == id_by_handle_.end()) {
            return;
        }
        const link_id id = found->second;
        id_by_handle_.erase(found);
        connections_.erase(id);
        handlers_.on_close(id);
    }

    void note_heard(const connection_hdl& handle) {
        const auto found = id_by_handle_.find(handle);
        if (found != id_by_handle_.end()) {
            connections_[found->second].last_heard = monotonic_now();
        }
    }

    Endpoint& endpoint_;
    link_handlers handlers_;
    std::map<link_id, open_link> connections_;
    std::map<connection_hdl, link_id, std::owner_less<connection_hdl>> id_by_handle_;
    link_id last_id_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

} // namespace

struct link_server::state {
    explicit state(link_handlers handlers) : links{server, std::move(handlers)} {}

    /** Begins the WebSocket handshake on a connection that has been accepted. */
    void accept(boost::asio::ip::tcp::socket socket) {
        const auto connection = server.get_connection();
        if (!connection) {
            return; // The socket closes.
        }
        connection->get_raw_socket() = std::move(socket);
        connection->start();
    }

    websocketpp::server<server_config> server;
    link_table<websocketpp::server<server_config>> links;
    std::unique_ptr<tcp_listener> listener;
};

link_server::link_server(event_loop& loop, const listen_target& target, link_handlers handlers)
    : state_{std::make_unique<state>(std::move(handlers))} {
    websocketpp::lib::error_code failure;
    state_->server.init_asio(&loop.context(), failure);
    // websocketpp does not report the system's reason for a failure to listen, which decides on the reaction.
    state_->listener = std::make_unique<tcp_listener>(
        loop, target,
        tcp_listener::events{
            [this](boost::asio::ip::tcp::socket socket) { state_->accept(std::move(socket)); }, {}});
    loop.every(ping_interval, [this] { state_->links.ping_all(); });
}

link_server::~link_server() = default;

void link_server::send(link_id link, const std::string& message) {
    state_->links.send(link, message);
}

void link_server::close(link_id link) {
    state_->links.close(link);
}

std::uint64_t link_server::bytes_sent() const {
    return state_->links.bytes_sent();
}

bool link_server::is_listening() const {
    return state_->listener->is_listening();
}

struct link_client::state {
    explicit state(link_handlers handlers) : links{client, std::move(handlers)} {}
    websocketpp::client<client_config> client;
    link_table<websocketpp::client<client_config>> links;
};

link_client::link_client(event_loop& loop, link_handlers handlers)
    : state_{std::make_unique<state>(std::move(handlers))} {
    websocketpp::lib::error_code failure;
    state_->client.init_asio(&loop.context(), failure);
    loop.every(ping_interval, [this] { state_->links.ping_all(); });
}

link_client::~link_client() = default;

link_id link_client::connect(const std::string& address) {
    websocketpp::lib::error_code failure;
    const auto connection = state_->client.get_connection("ws://" + address + "/link", failure);
    if (failure) {
        return 0;
    }
    const link_id id = state_->links.add(connection->get_handle());
    state_->client.connect(connection);
    return id;
}

void link_client::send(link_id link, const std::string& message) {
    state_->links.send(link, message);
}

void link_client::close(link_id link) {
    state_->links.close(link);
}

std::uint64_t link_client::bytes_sent() const {
    return state_->links.bytes_sent();
}

} // namespace laurelhoist
