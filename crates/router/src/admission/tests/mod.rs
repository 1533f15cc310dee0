mod cap;
mod fleet;
mod owner;
mod speed;
