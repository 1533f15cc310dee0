mod held_maximum;
mod moving_mean;

pub(crate) use {held_maximum::HeldMaximum, moving_mean::MovingMean};
