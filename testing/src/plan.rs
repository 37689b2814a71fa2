//! The layout and settings of a test cluster.

/// The mesh secret of every test cluster.
pub const MESH_SECRET: &str = "a secret for tests only";

/// The regions and data centres that nodes are placed in: three regions and seven
/// data centres, as many as the users run.
pub const DATA_CENTRES: [(&str, &str); 7] = [
    ("r1", "r1-a"),
    ("r1", "r1-b"),
    ("r2", "r2-a"),
    ("r2", "r2-b"),
    ("r3", "r3-a"),
    ("r3", "r3-b"),
    ("r3", "r3-c"),
];

/// The number and placement of a cluster's nodes, and settings that all of them
/// share.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of data centres that the nodes are spread over.
    pub data_centres: usize,
    /// Lines for the `[tuning]` table in every node's settings.
    pub tuning: String,
    /// Whether a node exits when it detects a broken invariant.
    pub strict: bool,
    /// Whether targets announce instance names, as those that state limits have to.
    pub named_targets: bool,
    /// Log level of the nodes.
    pub log_level: &'static str,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            data_centres: 1,
            tuning: String::new(),
            strict: true,
            named_targets: false,
            log_level: "info",
        }
    }
}
