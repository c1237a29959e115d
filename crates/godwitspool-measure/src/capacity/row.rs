//! One figure of a role.

/// One figure of a role at the size to design for.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// Most that the figure may be, where the letter says so.
    pub(crate) budget: Option<f64>,
    pub(crate) figure: f64,
    /// How the figure is worked out, in the names of series.
    pub(crate) formula: &'static str,
    pub(crate) quantity: &'static str,
    pub(crate) unit: &'static str,
}

impl Row {
    pub(crate) fn new(
        quantity: &'static str,
        figure: f64,
        unit: &'static str,
        formula: &'static str,
    ) -> Self {
        Self {
            budget: None,
            figure,
            formula,
            quantity,
            unit,
        }
    }

    /// Sets the most that the figure may be.
    pub(crate) fn with_budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Tells how the figure stands to its budget.
    pub(crate) fn verdict(&self) -> String {
        match self.budget {
            None => String::new(),
            Some(budget) if self.figure <= budget => format!("within {budget}"),
            Some(budget) => format!("OVER {budget}"),
        }
    }

    /// Returns the figure with three significant digits.
    pub(crate) fn rounded(&self) -> String {
        let digits = if self.figure == 0.0 {
            0
        } else {
            self.figure.abs().log10().floor() as i32
        };
        let decimals = (2 - digits).max(0) as usize;
        format!("{:.decimals$}", self.figure)
    }
}
