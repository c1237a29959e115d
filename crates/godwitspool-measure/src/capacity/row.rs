//! One row of a role's table.

/// One computed value of a role at the design size.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    /// Upper limit of the figure; `None` if the requirements set none.
    pub(crate) budget: Option<f64>,
    pub(crate) figure: f64,
    /// How the figure is computed, in words and names of series.
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

    /// Sets the upper limit of the figure.
    pub(crate) fn with_budget(mut self, budget: f64) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Returns the text of the budget column: the limit and whether the figure is within it.
    pub(crate) fn verdict(&self) -> String {
        match self.budget {
            None => String::new(),
            Some(budget) if self.figure <= budget => format!("within {budget}"),
            Some(budget) => format!("OVER {budget}"),
        }
    }

    /// Formats the figure with three significant digits, or with all integer digits if it has more.
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
