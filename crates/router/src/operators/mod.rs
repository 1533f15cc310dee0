mod api_response;
mod hooks;
mod operator_server;
mod query;
mod request_handler;
#[cfg(test)]
mod tests;
mod token_check;

pub(crate) use {hooks::OperatorHooks, operator_server::OperatorServer};
