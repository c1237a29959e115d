//! Names held as shared immutable strings.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::from("")
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name!(
    /// A class of targets that share price, start time and reclaimability.
    ClassName
);
name!(
    /// A data centre.
    Dc
);
name!(
    /// The path of a settings file, or of the operators' folder or a file in it.
    FileName
);
name!(
    /// A host of the system.
    HostName
);
name!(
    /// A model that engines serve.
    ModelName
);
name!(
    /// A service, qualified by the party that owns it where names clash.
    ServiceName
);
name!(
    /// A back end that runs requests: an engine or an instance of a plain service.
    TargetName
);
name!(
    /// A trainer that submits groups and fetches batches.
    TrainerName
);
name!(
    /// A version of a model's weights, unique in its weight store.
    WeightVersion
);
name!(
    /// A customer of the fleet.
    Workspace
);
