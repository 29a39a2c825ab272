//! [`PartFilter`]: what a gateway knows of parts of prompts that crash endpoints.

use std::collections::HashMap;
use std::collections::HashSet;

use crocustally_wire::ServiceSuspects;
use crocustally_wire::SuspectParts;

use super::PartSet;
use super::PromptPart;

/// Parts that a gateway watches for sound answers, and those whose requests it refuses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartFilter {
    services: HashMap<String, ServiceFilter>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceFilter {
    suspects: HashSet<PromptPart>,
    /// Requests with all parts of one of these are refused.
    blocked: Vec<PartSet>,
}

impl PartFilter {
    /// The blocked parts by which a request to a service is refused, if it has all of a block.
    pub fn blocked(&self, service: &str, parts: &PartSet) -> Option<&PartSet> {
        self.services.get(service)?.blocked.iter().find(|block| parts.has_all(block))
    }

    /// The suspects among the parts of a request.
    pub fn suspects(&self, service: &str, parts: &PartSet) -> Vec<PromptPart> {
        let Some(filter) = self.services.get(service) else { return Vec::new() };
        if filter.suspects.is_empty() {
            return Vec::new();
        }
        parts.iter().copied().filter(|p| filter.suspects.contains(p)).collect()
    }

    /// Number of blocks.
    pub fn blocks(&self) -> usize {
        self.services.values().map(|f| f.blocked.len()).sum()
    }
}

impl From<&SuspectParts> for PartFilter {
    fn from(parts: &SuspectParts) -> Self {
        let filter = |s: &ServiceSuspects| {
            // A block without parts would match every request.
            let blocked = s.blocked.iter().filter(|b| !b.parts.is_empty());
            ServiceFilter {
                suspects: s.suspects.iter().copied().map(PromptPart).collect(),
                blocked: blocked.map(|b| PartSet::from(&b.parts[..])).collect(),
            }
        };
        let services = parts.services.iter().map(|s| (s.service.clone(), filter(s)));
        Self { services: services.collect() }
    }
}
